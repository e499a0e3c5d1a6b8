package io.cactusspring.core.shard;

import io.cactusspring.core.model.BudgetAccount;
import io.cactusspring.core.model.LogRecord;
import io.cactusspring.core.model.Outcome;
import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.RunId;
import io.cactusspring.core.model.ShardId;
import io.cactusspring.core.model.TaskId;
import io.cactusspring.core.model.TaskSpec;
import io.cactusspring.core.model.WorkerInfo;
import io.cactusspring.core.placement.CommittedTask;
import io.cactusspring.core.placement.Decision;
import io.cactusspring.core.placement.PendingRun;
import io.cactusspring.core.placement.Placer;
import io.cactusspring.core.placement.ReleaseReason;
import io.cactusspring.core.placement.WaitReason;
import io.cactusspring.core.state.ClusterState;
import io.cactusspring.core.state.RunState;
import io.cactusspring.core.state.RunView;
import io.cactusspring.core.state.StateChange;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Places, renews and ends the tasks of one shard under one claim.
 *
 * <p>A pure state machine: it is told of replayed records, workers' answers and the time, and
 * returns commands. Not thread-safe; guarded by the lock that guards its {@link ClusterState}.
 *
 * <pre>{@code
 * ShardOwner owner = new ShardOwner(shard, epoch, settings, placer, state, nowMillis);
 * owner.workersListed(workers, nowMillis);
 * List<OwnerCommand> commands = owner.tick(nowMillis, permission);
 * }</pre>
 *
 * @since 0.1
 */
public class ShardOwner {
  private static final int MAX_DECISIONS_PER_TICK = 200;

  private final ShardId shard;
  private final long epoch;
  private final OwnerSettings settings;
  private final Placer placer;
  private final ClusterState state;
  private final long holdUntilMillis;
  private final Map<RunId, RunEntry> runs = new LinkedHashMap<>();
  private final Map<String, WorkerLink> links = new LinkedHashMap<>();
  private final Map<String, Integer> uncounted = new HashMap<>();
  private final Map<String, Integer> givenAway = new HashMap<>();
  private final RestartBackoff backoff = new RestartBackoff();
  private final EndLedger ledger;
  private boolean holding = true;
  private boolean fenced;

  /**
   * Creates the owner when its claim has been read from the log.
   *
   * @param epoch epoch of the claim
   * @param nowMillis when the claim was read
   */
  public ShardOwner(
      ShardId shard,
      long epoch,
      OwnerSettings settings,
      Placer placer,
      ClusterState state,
      long nowMillis) {
    this.shard = shard;
    this.epoch = epoch;
    this.settings = settings;
    this.placer = placer;
    this.state = state;
    this.holdUntilMillis = nowMillis + settings.takeoverLapseMillis();
    this.ledger = new EndLedger(shard, epoch);
    state.liveRuns(shard).forEach(v -> adopt(v, nowMillis));
    waitingEntries().forEach(e -> enqueue(e, nowMillis));
  }

  public ShardId shard() {
    return shard;
  }

  public long epoch() {
    return epoch;
  }

  /** Returns the placement state, for status and hints. */
  public Placer placer() {
    return placer;
  }

  /** Whether a worker has reported a higher epoch, so that another owner must exist. */
  public boolean fenced() {
    return fenced;
  }

  /** Units of a team that run or may run in this shard. */
  public int running(String team) {
    return placer.running(team) + uncounted.getOrDefault(team, 0);
  }

  /** Whether this owner has heard a worker recently. */
  public boolean isReachable(String worker) {
    WorkerLink link = links.get(worker);
    return link != null && link.reachable();
  }

  /** Takes the shard's part of the platform's host list. */
  public void workersListed(Collection<WorkerInfo> listed, long nowMillis) {
    listed.forEach(this::workerListed);
    Map<String, WorkerInfo> byName =
        listed.stream().collect(Collectors.toMap(WorkerInfo::name, w -> w, (a, b) -> a));
    List<WorkerLink> gone =
        links.values().stream().filter(l -> !byName.containsKey(l.worker)).toList();
    gone.forEach(l -> placer.setReachable(l.worker, false));
    gone.stream().filter(l -> l.tasks.isEmpty() && l.strays.isEmpty()).forEach(this::drop);
  }

  /** Takes what replay of one record changed. */
  public void changed(StateChange change, long nowMillis) {
    switch (change) {
      case StateChange.WorkAccepted c when c.home().equals(shard) ->
          addAll(c.submission(), nowMillis);
      case StateChange.WorkMoved c when c.to().equals(shard) ->
          c.runs().stream().map(RunId::workload).distinct().forEach(w -> addAll(w, nowMillis));
      case StateChange.WorkMoved c when c.from().equals(shard) -> c.runs().forEach(this::movedAway);
      case StateChange.WorkCancelled c -> reconcile(e -> e.run.workload().equals(c.submission()));
      case StateChange.ReplicasChanged c -> replicasChanged(c.service(), nowMillis);
      case StateChange.RunsStarted c when c.shard().equals(shard) ->
          c.placements().forEach(this::startRead);
      case StateChange.RunsEnded c when c.shard().equals(shard) ->
          c.ends().forEach(e -> endRead(e, nowMillis));
      default -> {}
    }
  }

  /** Takes the answer to a start call. */
  public void startAnswered(TaskId task, StartAnswer answer, long nowMillis) {
    RunEntry entry = runs.get(task.run());
    if (answer == StartAnswer.FENCED) {
      fenced = true;
    }
    if (entry == null
        || entry.attempt != task.attempt()
        || entry.phase != RunEntry.Phase.STARTING) {
      return;
    }
    switch (answer) {
      case STARTED -> confirm(entry, nowMillis);
      case NOT_RUN, FENCED -> endNotRun(entry, ReleaseReason.START_FAILED, nowMillis);
      case UNKNOWN -> links.get(entry.worker).urgent = true;
    }
  }

  /**
   * Takes a worker's answer to a sync.
   *
   * @param sentAtMillis when the sync was sent
   */
  public void syncAnswered(String worker, WorkerReport report, long sentAtMillis, long nowMillis) {
    WorkerLink link = links.get(worker);
    if (link == null) {
      return;
    }
    boolean restarted = link.incarnation != null && !link.incarnation.equals(report.incarnation());
    link.incarnation = report.incarnation();
    if (restarted) {
      link.tasks.values().forEach(e -> e.mayHaveRun = true);
    }
    link.syncing = false;
    link.failedSyncs = 0;
    link.heard = true;
    placer.setReachable(worker, true);
    report.running().forEach(r -> sawRunning(link, r, nowMillis));
    report.ended().forEach(e -> sawEnded(link, e, nowMillis));
    forgetGone(link, report, nowMillis);
    endMissing(link, report, sentAtMillis, nowMillis);
  }

  /** Notes that a sync got no answer. */
  public void syncFailed(String worker) {
    WorkerLink link = links.get(worker);
    if (link == null) {
      return;
    }
    link.syncing = false;
    link.failedSyncs++;
    if (!link.reachable()) {
      placer.setReachable(worker, false);
    }
  }

  /** Notes that a worker has seen a higher epoch. */
  public void syncFenced(String worker) {
    fenced = true;
    syncFailed(worker);
  }

  /** Returns what is to be done now. */
  public List<OwnerCommand> tick(long nowMillis, Permission permission) {
    if (fenced) {
      return List.of();
    }
    List<OwnerCommand> commands = new ArrayList<>();
    expireLeases(nowMillis);
    releaseHeld(nowMillis);
    if (permission.mayStart()) {
      backoff.due(nowMillis).forEach(r -> requeue(r, nowMillis));
      place(nowMillis);
      stopOverLimit();
      commands.addAll(starts(nowMillis, permission.logAvailable()));
    }
    if (permission.mayRenew()) {
      commands.addAll(syncs(nowMillis));
    }
    if (permission.logAvailable()) {
      dropEndedElsewhere();
      restartUnrecorded(nowMillis);
      ledger.due(nowMillis).forEach(r -> commands.add(new OwnerCommand.Append(r)));
    } else {
      restartWithoutLog(nowMillis);
    }
    return commands;
  }

  /** Returns whether runs wait because a worker not heard since the claim may run them. */
  public boolean holding() {
    return holding;
  }

  // Adoption after a claim, and arrival of work.

  private void adopt(RunView view, long nowMillis) {
    if (view.state() == RunState.STARTED) {
      RunEntry entry = new RunEntry(view, RunEntry.Phase.RUNNING);
      entry.lapsesAtMillis = nowMillis + settings.takeoverLapseMillis();
      runs.put(view.run(), entry);
      count(view.team(), 1);
      return;
    }
    if (view.spec().idempotent()) {
      runs.put(view.run(), new RunEntry(view, RunEntry.Phase.HELD));
      count(view.team(), 1);
      return;
    }
    runs.put(view.run(), new RunEntry(view, RunEntry.Phase.WAITING));
  }

  private List<RunEntry> waitingEntries() {
    return runs.values().stream().filter(e -> e.phase == RunEntry.Phase.WAITING).toList();
  }

  private void addAll(String workload, long nowMillis) {
    List<RunEntry> added =
        state.runs(workload).stream()
            .filter(v -> v.state() == RunState.PENDING && v.home().equals(shard))
            .filter(v -> !runs.containsKey(v.run()))
            .map(v -> new RunEntry(v, RunEntry.Phase.WAITING))
            .toList();
    added.forEach(e -> runs.put(e.run, e));
    added.forEach(e -> enqueue(e, nowMillis));
  }

  /** Queues a waiting run for placement; the members of a gang only when all of them wait. */
  private void enqueue(RunEntry entry, long nowMillis) {
    if (entry.view.gangSize() == 1) {
      enqueueSingle(entry, nowMillis);
      return;
    }
    List<RunEntry> members = gang(entry.run.workload());
    long live =
        state.runs(entry.run.workload()).stream().filter(v -> v.state() != RunState.ENDED).count();
    boolean allWait =
        members.size() == live
            && members.stream().allMatch(m -> m.phase == RunEntry.Phase.WAITING)
            && members.stream().noneMatch(m -> hasStray(m.run));
    if (allWait) {
      members.forEach(m -> placer.remove(m.run));
      members.forEach(m -> placer.enqueue(m.pending(members.size()), nowMillis));
    } else {
      breakGang(entry);
    }
  }

  private void enqueueSingle(RunEntry entry, long nowMillis) {
    if (!hasStray(entry.run)) {
      placer.remove(entry.run);
      placer.enqueue(entry.pending(1), nowMillis);
    }
  }

  private List<RunEntry> gang(String workload) {
    return runs.values().stream().filter(e -> e.run.workload().equals(workload)).toList();
  }

  private void releaseHeld(long nowMillis) {
    if (!holding) {
      return;
    }
    boolean allHeard = !links.isEmpty() && links.values().stream().allMatch(l -> l.heard);
    if (!allHeard && nowMillis < holdUntilMillis) {
      return;
    }
    holding = false;
    List<RunEntry> held =
        runs.values().stream().filter(e -> e.phase == RunEntry.Phase.HELD).toList();
    held.forEach(this::unhold);
    held.stream()
        .filter(e -> runs.containsKey(e.run) && !backoff.waits(e.run))
        .forEach(e -> enqueue(e, nowMillis));
  }

  private void hold(RunEntry entry) {
    entry.phase = RunEntry.Phase.HELD;
    count(entry.view.team(), 1);
  }

  private void unhold(RunEntry entry) {
    count(entry.view.team(), -1);
    entry.phase = RunEntry.Phase.WAITING;
    if (isOver(entry.run)) {
      runs.remove(entry.run);
    }
  }

  private boolean isOver(RunId run) {
    return state.run(run).map(v -> v.state() == RunState.ENDED).orElse(true);
  }

  private void count(String team, int units) {
    uncounted.merge(team, units, Integer::sum);
  }

  // Workers.

  private void workerListed(WorkerInfo info) {
    placer.putWorker(info);
    WorkerLink link = links.get(info.name());
    if (link == null) {
      link = new WorkerLink(info.name());
      links.put(info.name(), link);
      placer.setReachable(info.name(), false);
      commitAdopted(link);
    } else {
      placer.setReachable(info.name(), link.reachable());
    }
  }

  private void commitAdopted(WorkerLink link) {
    runs.values().stream()
        .filter(e -> e.onWorker() && !e.committed && link.worker.equals(e.worker))
        .forEach(e -> commitUncounted(link, e));
  }

  private void commitUncounted(WorkerLink link, RunEntry entry) {
    count(entry.view.team(), -1);
    commit(link, entry);
  }

  private void commit(WorkerLink link, RunEntry entry) {
    placer.commit(
        new CommittedTask(
            entry.task(),
            entry.view.team(),
            entry.view.spec(),
            link.worker,
            entry.view.service(),
            entry.view.gangSize() > 1));
    entry.committed = true;
    link.tasks.put(entry.task(), entry);
  }

  private void drop(WorkerLink link) {
    links.remove(link.worker);
    placer.removeWorker(link.worker);
  }

  // Placement and starts.

  private void place(long nowMillis) {
    placer.decide(nowMillis, MAX_DECISIONS_PER_TICK, this::budget).forEach(this::decided);
  }

  /** Units of a team's limit that the placer may use in this shard. */
  protected int budget(String team) {
    return Math.max(0, usableBudget(team) - uncounted.getOrDefault(team, 0));
  }

  /** Units of a team's limit that this shard holds and is not giving away. */
  private int usableBudget(String team) {
    return state.budget(team, account()) - givenAway.getOrDefault(team, 0);
  }

  /** Takes units of a team's budget out of use, because they are being moved to another account. */
  public void giveAway(String team, int units) {
    givenAway.merge(team, units, Integer::sum);
  }

  private void decided(Decision decision) {
    switch (decision) {
      case Decision.Place p -> placed(p);
      case Decision.PlaceGang g -> g.members().forEach(this::placed);
      case Decision.Preempt p -> stop(p.victim(), RunEntry.StopReason.PREEMPTED);
      case Decision.Infeasible i -> infeasible(i.run());
    }
  }

  private void placed(Decision.Place place) {
    RunEntry entry = runs.get(place.run().run());
    entry.attempt = place.run().attempt();
    entry.worker = place.worker();
    entry.confirmed = false;
    entry.mayHaveRun = false;
    entry.stop = RunEntry.StopReason.NONE;
    entry.committed = true;
    entry.phase = RunEntry.Phase.RECORDING;
    links.get(place.worker()).tasks.put(entry.task(), entry);
    ledger.start(new LogRecord.Placement(entry.task(), place.worker()));
  }

  private void infeasible(PendingRun run) {
    RunEntry entry = runs.get(run.run());
    if (entry == null || entry.phase != RunEntry.Phase.WAITING) {
      return;
    }
    placer.remove(entry.run);
    entry.attempt = run.attempt();
    entry.phase = RunEntry.Phase.ENDING;
    ledger.end(new LogRecord.End(entry.task(), Outcome.INFEASIBLE, true));
    if (entry.view.gangSize() > 1) {
      gang(entry.run.workload()).forEach(e -> infeasible(e.pending(1)));
    }
  }

  private List<OwnerCommand> starts(long nowMillis, boolean logAvailable) {
    return runs.values().stream()
        .filter(e -> startable(e, logAvailable))
        .map(e -> start(e, nowMillis))
        .toList();
  }

  /** Whether a placed run may start now. */
  protected boolean startable(RunEntry entry, boolean logAvailable) {
    if (entry.phase == RunEntry.Phase.READY) {
      return true;
    }
    return entry.phase == RunEntry.Phase.RECORDING && !logAvailable && entry.idempotent();
  }

  private OwnerCommand start(RunEntry entry, long nowMillis) {
    entry.phase = RunEntry.Phase.STARTING;
    entry.startSentAtMillis = nowMillis;
    entry.lapsesAtMillis = nowMillis + settings.certainLapseMillis();
    return new OwnerCommand.Start(entry.worker, entry.task(), entry.view.spec());
  }

  private void startRead(LogRecord.Placement placement) {
    ledger.startRead(placement.task());
    RunEntry entry = runs.get(placement.task().run());
    if (entry == null
        || entry.attempt != placement.task().attempt()
        || entry.phase != RunEntry.Phase.RECORDING) {
      return;
    }
    if (entry.stop == RunEntry.StopReason.CANCELLED) {
      end(entry, Outcome.CANCELLED, true, ReleaseReason.STOPPED, 0);
      return;
    }
    entry.phase = RunEntry.Phase.READY;
  }

  private void confirm(RunEntry entry, long nowMillis) {
    entry.phase = RunEntry.Phase.RUNNING;
    if (!entry.confirmed) {
      entry.confirmed = true;
      entry.confirmedAtMillis = nowMillis;
    }
  }

  // Limits, cancellation and preemption.

  private void stopOverLimit() {
    state.configuration().teams().forEach(t -> stopOverLimit(t.name()));
  }

  private void stopOverLimit(String team) {
    int excess = running(team) - held(team) - usableBudget(team);
    if (excess <= 0) {
      return;
    }
    List<RunEntry> running =
        runs.values().stream().filter(e -> e.onWorker() && e.view.team().equals(team)).toList();
    long stopping = running.stream().filter(RunEntry::stopping).count();
    running.stream()
        .filter(e -> !e.stopping())
        .sorted(Comparator.comparing(ShardOwner::costOfStopping))
        .limit(Math.max(0, excess - stopping))
        .forEach(e -> stop(e, RunEntry.StopReason.OVER_LIMIT));
  }

  /** Runs that wait to hear the workers; stopping others would not make up for any of them. */
  private int held(String team) {
    return (int)
        runs.values().stream()
            .filter(e -> e.phase == RunEntry.Phase.HELD && e.view.team().equals(team))
            .count();
  }

  private static int costOfStopping(RunEntry entry) {
    TaskSpec spec = entry.view.spec();
    if (spec.idempotent() && spec.checkpointable()) {
      return 0;
    }
    return spec.idempotent() ? 1 : 2;
  }

  /** The account of this shard's part of the teams' limits. */
  public BudgetAccount account() {
    return BudgetAccount.of(shard);
  }

  private void stop(TaskId task, RunEntry.StopReason reason) {
    Optional.ofNullable(runs.get(task.run()))
        .filter(e -> e.attempt == task.attempt() && e.onWorker() && !e.stopping())
        .ifPresent(e -> stop(e, reason));
  }

  private void stop(RunEntry entry, RunEntry.StopReason reason) {
    entry.stop = reason;
    Optional.ofNullable(links.get(entry.worker)).ifPresent(l -> l.urgent = true);
  }

  private void reconcile(Predicate<RunEntry> affected) {
    runs.values().stream().filter(affected).toList().forEach(this::reconcile);
  }

  /** Brings one entry in line with a cancellation that replay has applied. */
  private void reconcile(RunEntry entry) {
    Optional<RunView> view = state.run(entry.run);
    boolean over = view.map(v -> v.state() == RunState.ENDED).orElse(true);
    boolean cancelled = over || view.get().cancelled();
    if (!cancelled) {
      return;
    }
    switch (entry.phase) {
      // A worker that has not been heard may run it; it is stopped when it shows up.
      case HELD -> {}
      case WAITING -> {
        placer.remove(entry.run);
        backoff.remove(entry.run);
        if (over) {
          runs.remove(entry.run);
        }
      }
      case RECORDING -> {
        if (over) {
          ledger.endRead(entry.task());
          release(entry, ReleaseReason.STOPPED, 0);
          runs.remove(entry.run);
        } else {
          entry.stop = RunEntry.StopReason.CANCELLED;
        }
      }
      case MOVING -> {
        if (over) {
          ledger.moveRead(entry.run);
          runs.remove(entry.run);
        }
      }
      case READY -> end(entry, Outcome.CANCELLED, true, ReleaseReason.STOPPED, 0);
      case STARTING, RUNNING -> stop(entry, RunEntry.StopReason.CANCELLED);
      case ENDING -> {}
    }
  }

  private void replicasChanged(String service, long nowMillis) {
    String workload = "service:" + service;
    reconcile(e -> e.run.workload().equals(workload));
    addAll(workload, nowMillis);
  }

  /**
   * Gives runs that wait for room here to another shard. Nothing of them starts here any more, even
   * if the record of the move is lost for a while.
   *
   * @param room what the runs may need together
   * @param max greatest number of runs
   * @return number of runs given
   */
  public int moveWaiting(ShardId to, Resources room, int max) {
    Resources left = room;
    int moved = 0;
    for (RunEntry entry : waitingEntries().reversed()) {
      Resources needs = entry.view.spec().resources();
      if (moved < max && needs.fitsIn(left) && isMovable(entry)) {
        placer.remove(entry.run);
        entry.phase = RunEntry.Phase.MOVING;
        ledger.move(entry.run, to);
        left = left.minus(needs);
        moved++;
      }
    }
    return moved;
  }

  /** Whether a run waits for room alone, and the log knows that no attempt of it is under way. */
  private boolean isMovable(RunEntry entry) {
    boolean lacksRoom =
        placer.whyWaiting(entry.run).filter(w -> w == WaitReason.NO_ROOM).isPresent();
    return lacksRoom
        && entry.view.gangSize() == 1
        && !hasStray(entry.run)
        && state.run(entry.run).filter(v -> v.state() == RunState.PENDING).isPresent();
  }

  private void movedAway(RunId run) {
    ledger.moveRead(run);
    RunEntry entry = runs.get(run);
    if (entry == null) {
      return;
    }
    if (entry.phase == RunEntry.Phase.WAITING) {
      placer.remove(run);
    }
    if (entry.phase == RunEntry.Phase.WAITING || entry.phase == RunEntry.Phase.MOVING) {
      runs.remove(run);
    }
  }

  // Syncs.

  private List<OwnerCommand> syncs(long nowMillis) {
    return links.values().stream()
        .filter(l -> l.due(nowMillis, settings.syncMillis()))
        .map(l -> sync(l, nowMillis))
        .toList();
  }

  private OwnerCommand sync(WorkerLink link, long nowMillis) {
    link.syncing = true;
    link.syncSentAtMillis = nowMillis;
    link.urgent = false;
    List<RunEntry> onWorker =
        link.tasks.values().stream().filter(e -> e.onWorker() && leased(link, e)).toList();
    onWorker.forEach(e -> e.lapsesAtMillis = nowMillis + settings.certainLapseMillis());
    List<TaskId> stop = new ArrayList<>(link.strays.keySet());
    select(link, e -> e.stopping() && !checkpointed(e)).forEach(stop::add);
    return new OwnerCommand.Sync(
        link.worker,
        onWorker.stream().map(RunEntry::task).toList(),
        List.copyOf(stop),
        select(link, e -> e.stopping() && checkpointed(e)),
        List.copyOf(link.forget));
  }

  /** Whether the next sync renews the task's lease. */
  private static boolean leased(WorkerLink link, RunEntry entry) {
    return link.reachable() && entry.confirmed;
  }

  private static boolean checkpointed(RunEntry entry) {
    return entry.stop != RunEntry.StopReason.CANCELLED && entry.view.spec().checkpointable();
  }

  private static List<TaskId> select(WorkerLink link, Predicate<RunEntry> which) {
    return link.tasks.values().stream()
        .filter(e -> e.onWorker() && which.test(e))
        .map(RunEntry::task)
        .toList();
  }

  private void sawRunning(WorkerLink link, WorkerReport.Running running, long nowMillis) {
    RunEntry entry = runs.get(running.task().run());
    boolean known =
        entry != null
            && entry.onWorker()
            && entry.attempt == running.task().attempt()
            && link.worker.equals(entry.worker);
    if (known) {
      if (!entry.confirmed) {
        link.urgent = true;
      }
      confirm(entry, nowMillis);
      observe(running, nowMillis);
      return;
    }
    if (takeOver(link, entry, running.task(), nowMillis)) {
      return;
    }
    stray(link, running);
  }

  private void observe(WorkerReport.Running running, long nowMillis) {
    if (running.usage() != null) {
      placer.observeUsage(running.task(), running.usage(), nowMillis);
    }
  }

  /** Takes over a running attempt that the log does not know; returns whether it did. */
  private boolean takeOver(WorkerLink link, RunEntry entry, TaskId task, long nowMillis) {
    if (takeOverHeld(link, entry, task, nowMillis)) {
      return true;
    }
    boolean isNewer =
        entry != null
            && task.attempt() > entry.attempt
            && entry.onWorker()
            && !entry.confirmed
            && entry.startSentAtMillis == 0;
    if (isNewer) {
      adoptNewer(link, entry, task, nowMillis);
    }
    return isNewer;
  }

  /** Takes over an attempt of a held run, also one that has ended since. */
  private boolean takeOverHeld(WorkerLink link, RunEntry entry, TaskId task, long nowMillis) {
    boolean isUnrecorded =
        entry != null && entry.phase == RunEntry.Phase.HELD && task.attempt() > entry.attempt;
    if (isUnrecorded) {
      adoptUnrecorded(link, entry, task, nowMillis);
    }
    return isUnrecorded;
  }

  /** The replaced owner saw the recorded attempt end, and started the next one without the log. */
  private void adoptNewer(WorkerLink link, RunEntry entry, TaskId task, long nowMillis) {
    release(entry, ReleaseReason.LAPSED, nowMillis);
    ledger.end(new LogRecord.End(entry.task(), null));
    hold(entry);
    adoptUnrecorded(link, entry, task, nowMillis);
  }

  /** Takes over a task that the replaced owner started while it could not reach the log. */
  private void adoptUnrecorded(WorkerLink link, RunEntry entry, TaskId task, long nowMillis) {
    entry.attempt = task.attempt();
    entry.worker = link.worker;
    entry.startSentAtMillis = 0;
    entry.confirmed = false;
    entry.lapsesAtMillis = nowMillis + settings.takeoverLapseMillis();
    count(entry.view.team(), -1);
    commit(link, entry);
    confirm(entry, nowMillis);
    link.urgent = true;
    if (isOver(entry.run)) {
      entry.stop = RunEntry.StopReason.CANCELLED;
    }
    ledger.start(new LogRecord.Placement(task, link.worker));
  }

  private void stray(WorkerLink link, WorkerReport.Running running) {
    if (link.strays.containsKey(running.task())) {
      return;
    }
    CommittedTask stray =
        new CommittedTask(
            running.task(),
            strayTeam(running.task()),
            TaskSpec.builder(running.resources()).build(),
            link.worker,
            false);
    unqueue(running.task().run());
    placer.commit(stray);
    link.strays.put(running.task(), stray);
    link.urgent = true;
  }

  private String strayTeam(TaskId task) {
    return state.run(task.run()).map(RunView::team).orElse("unknown");
  }

  private void sawEnded(WorkerLink link, WorkerReport.Ended ended, long nowMillis) {
    TaskId task = ended.task();
    RunEntry entry = runs.get(task.run());
    takeOverHeld(link, entry, task, nowMillis);
    boolean isCurrent =
        entry != null && entry.attempt == task.attempt() && link.worker.equals(entry.worker);
    if (!isCurrent || entry.phase == RunEntry.Phase.HELD) {
      link.forget.add(task);
      return;
    }
    if (entry.onWorker()) {
      ended(entry, ended.result(), nowMillis);
    }
  }

  private void forgetGone(WorkerLink link, WorkerReport report, long nowMillis) {
    var running =
        report.running().stream().map(WorkerReport.Running::task).collect(Collectors.toSet());
    var ended = report.ended().stream().map(WorkerReport.Ended::task).collect(Collectors.toSet());
    link.forget.retainAll(ended);
    List<TaskId> gone = link.strays.keySet().stream().filter(t -> !running.contains(t)).toList();
    gone.forEach(t -> releaseStray(link, t, nowMillis));
  }

  private void releaseStray(WorkerLink link, TaskId task, long nowMillis) {
    link.strays.remove(task);
    placer.release(task, ReleaseReason.STOPPED, nowMillis);
    requeue(task.run(), nowMillis);
  }

  /** Takes a run out of the queue while a stray attempt of it is being stopped. */
  private void unqueue(RunId run) {
    Optional.ofNullable(runs.get(run)).filter(e -> e.phase == RunEntry.Phase.WAITING).stream()
        .flatMap(e -> gang(run.workload()).stream())
        .filter(e -> e.view.gangSize() > 1 || e.run.equals(run))
        .forEach(e -> placer.remove(e.run));
  }

  private boolean hasStray(RunId run) {
    return links.values().stream()
        .flatMap(l -> l.strays.keySet().stream())
        .anyMatch(t -> t.run().equals(run));
  }

  /** Ends tasks that the worker neither runs nor has ended. */
  private void endMissing(WorkerLink link, WorkerReport report, long sentAtMillis, long nowMillis) {
    var listed =
        Stream.concat(
                report.running().stream().map(WorkerReport.Running::task),
                report.ended().stream().map(WorkerReport.Ended::task))
            .collect(Collectors.toSet());
    link.tasks.values().stream()
        .filter(e -> e.onWorker() && !listed.contains(e.task()))
        .filter(e -> callsDone(e, sentAtMillis))
        .toList()
        .forEach(e -> endMissing(e, nowMillis));
  }

  /**
   * Whether the sync was certainly handled after the task's start: the worker's word on the start
   * came before the sync was sent, or the start call can no longer be handled.
   */
  private boolean callsDone(RunEntry entry, long syncSentAtMillis) {
    if (entry.confirmed) {
      return entry.confirmedAtMillis < syncSentAtMillis;
    }
    boolean isAdopted = entry.startSentAtMillis == 0;
    return isAdopted || entry.startSentAtMillis + settings.callTimeoutMillis() < syncSentAtMillis;
  }

  private void endMissing(RunEntry entry, long nowMillis) {
    boolean startedHere = entry.startSentAtMillis > 0;
    if (startedHere && !entry.confirmed && !entry.mayHaveRun) {
      endNotRun(entry, ReleaseReason.START_FAILED, nowMillis);
      return;
    }
    lost(entry, nowMillis);
  }

  // Ends.

  private void expireLeases(long nowMillis) {
    runs.values().stream()
        .filter(e -> e.onWorker() && nowMillis >= e.lapsesAtMillis)
        .toList()
        .forEach(e -> lost(e, nowMillis));
  }

  private void lost(RunEntry entry, long nowMillis) {
    ended(entry, TaskResult.LAPSED, nowMillis);
  }

  private void ended(RunEntry entry, TaskResult result, long nowMillis) {
    Outcome outcome = outcome(entry, result);
    if (outcome == null && entry.view.service() && result != TaskResult.CHECKPOINTED) {
      backoff.failed(entry.run, nowMillis);
    }
    end(entry, outcome, false, reason(result), nowMillis);
    if (outcome == null && entry.view.gangSize() > 1) {
      breakGang(entry);
    }
  }

  /** Stops the other members of a gang of which one has to start again. */
  private void breakGang(RunEntry entry) {
    gang(entry.run.workload()).stream()
        .filter(e -> e.onWorker() && !e.stopping())
        .forEach(e -> stop(e, RunEntry.StopReason.GANG_BROKEN));
  }

  private static Outcome outcome(RunEntry entry, TaskResult result) {
    if (entry.stop == RunEntry.StopReason.CANCELLED && result != TaskResult.SUCCEEDED) {
      return Outcome.CANCELLED;
    }
    if (entry.view.service()) {
      return null;
    }
    return switch (result) {
      case SUCCEEDED -> Outcome.SUCCEEDED;
      case FAILED -> Outcome.FAILED;
      case STOPPED, CHECKPOINTED -> entry.idempotent() ? null : Outcome.FAILED;
      case LAPSED -> entry.idempotent() ? null : Outcome.UNKNOWN;
    };
  }

  private static ReleaseReason reason(TaskResult result) {
    return switch (result) {
      case SUCCEEDED -> ReleaseReason.SUCCEEDED;
      case FAILED -> ReleaseReason.FAILED;
      case STOPPED -> ReleaseReason.STOPPED;
      case CHECKPOINTED -> ReleaseReason.CHECKPOINTED;
      case LAPSED -> ReleaseReason.LAPSED;
    };
  }

  private void endNotRun(RunEntry entry, ReleaseReason reason, long nowMillis) {
    boolean cancelled = entry.stop == RunEntry.StopReason.CANCELLED;
    end(entry, cancelled ? Outcome.CANCELLED : null, true, reason, nowMillis);
    if (!cancelled && entry.view.gangSize() > 1) {
      breakGang(entry);
    }
  }

  private void end(
      RunEntry entry, Outcome outcome, boolean notRun, ReleaseReason reason, long nowMillis) {
    release(entry, reason, nowMillis);
    entry.phase = RunEntry.Phase.ENDING;
    ledger.end(new LogRecord.End(entry.task(), outcome, notRun));
  }

  private void release(RunEntry entry, ReleaseReason reason, long nowMillis) {
    if (entry.committed) {
      placer.release(entry.task(), reason, nowMillis);
      links.get(entry.worker).tasks.remove(entry.task());
      entry.committed = false;
    } else {
      count(entry.view.team(), -1);
    }
  }

  private void endRead(LogRecord.End end, long nowMillis) {
    ledger.endRead(end.task());
    RunEntry entry = runs.get(end.task().run());
    if (entry == null) {
      return;
    }
    if (entry.phase != RunEntry.Phase.ENDING || entry.attempt != end.task().attempt()) {
      reconcile(entry);
      return;
    }
    forget(entry);
    boolean pending = state.run(entry.run).map(v -> v.state() == RunState.PENDING).orElse(false);
    if (pending) {
      waitAgain(entry, nowMillis);
    } else {
      runs.remove(entry.run);
      if (entry.view.gangSize() > 1) {
        startRestOfGang(entry, nowMillis);
      }
    }
  }

  /** Queues members that wait for others of their gang, which now has one member less. */
  private void startRestOfGang(RunEntry ended, long nowMillis) {
    gang(ended.run.workload()).stream()
        .filter(e -> e.phase == RunEntry.Phase.WAITING)
        .findFirst()
        .ifPresent(e -> enqueue(e, nowMillis));
  }

  private void forget(RunEntry entry) {
    Optional.ofNullable(entry.worker).map(links::get).ifPresent(l -> l.forget.add(entry.task()));
  }

  private void waitAgain(RunEntry entry, long nowMillis) {
    entry.stop = RunEntry.StopReason.NONE;
    if (holding && entry.idempotent()) {
      hold(entry);
      return;
    }
    entry.phase = RunEntry.Phase.WAITING;
    if (!backoff.waits(entry.run)) {
      enqueue(entry, nowMillis);
    }
  }

  private void requeue(RunId run, long nowMillis) {
    Optional.ofNullable(runs.get(run))
        .filter(e -> e.phase == RunEntry.Phase.WAITING)
        .ifPresent(e -> enqueue(e, nowMillis));
  }

  /** Drops entries and records that cannot take effect any more, because replay is past them. */
  private void dropEndedElsewhere() {
    ledger.prune(state);
    runs.values().stream()
        .filter(e -> e.phase == RunEntry.Phase.ENDING && isOver(e.run))
        .toList()
        .forEach(this::dropEnded);
  }

  private void dropEnded(RunEntry entry) {
    forget(entry);
    runs.remove(entry.run);
  }

  /** Lets idempotent runs wait again at once while the log cannot take the record of their end. */
  private void restartWithoutLog(long nowMillis) {
    restart(e -> true, nowMillis);
  }

  /** Lets idempotent runs wait again for whose last attempt the log holds no start. */
  private void restartUnrecorded(long nowMillis) {
    restart(e -> ledger.startUnread(e.task()), nowMillis);
  }

  private void restart(Predicate<RunEntry> which, long nowMillis) {
    runs.values().stream()
        .filter(e -> e.phase == RunEntry.Phase.ENDING && e.idempotent())
        .filter(e -> ledger.pendsAgain(e.task()) && which.test(e))
        .toList()
        .forEach(e -> waitAgain(e, nowMillis));
  }
}
