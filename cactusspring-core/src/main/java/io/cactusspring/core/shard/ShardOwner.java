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
import io.cactusspring.core.placement.Decision;
import io.cactusspring.core.placement.PendingRun;
import io.cactusspring.core.placement.Placer;
import io.cactusspring.core.placement.ReleaseReason;
import io.cactusspring.core.state.ClusterState;
import io.cactusspring.core.state.RunState;
import io.cactusspring.core.state.RunView;
import io.cactusspring.core.state.StateChange;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Places, renews and ends the tasks of one shard under one claim.
 *
 * <p>A pure state machine: its inputs are replayed records, workers' responses and the time, and
 * its outputs are commands. Not thread-safe; guarded by the lock that guards its {@link
 * ClusterState}.
 *
 * <pre>{@code
 * ShardOwner owner = new ShardOwner(shard, epoch, settings, placer, state, nowMillis);
 * owner.updateWorkers(workers, nowMillis);
 * List<OwnerCommand> commands = owner.tick(nowMillis, permission);
 * }</pre>
 *
 * @since 0.1
 */
public class ShardOwner {
  private static final int MAX_DECISIONS_PER_TICK = 200;

  private final long epoch;
  private final OwnerState shared;
  private final WaitingEntries waiting;
  private final RunCompletion ends;
  private final WorkerSyncs syncs;
  private final Map<String, Integer> withheld = new HashMap<>();
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
    this.epoch = epoch;
    this.shared = new OwnerState(shard, epoch, settings, placer, state, nowMillis);
    this.waiting = new WaitingEntries(shared);
    this.ends = new RunCompletion(shared, waiting);
    this.syncs = new WorkerSyncs(shared, waiting, ends);
    state.liveRuns(shard).forEach(v -> adopt(v, nowMillis));
    shared.runs.inPhases(RunEntry.Phase.WAITING).forEach(e -> waiting.enqueue(e, nowMillis));
  }

  public ShardId shard() {
    return shared.shard;
  }

  public long epoch() {
    return epoch;
  }

  /** Returns the placement state, for status and hints. */
  public Placer placer() {
    return shared.placer;
  }

  /**
   * Returns whether a worker has reported a higher epoch, which means that a newer owner exists.
   */
  public boolean fenced() {
    return fenced;
  }

  /** Returns the units of a team that run, or may run, in this shard. */
  public int running(String team) {
    return shared.placer.running(team) + shared.uncommittedUnits.getOrDefault(team, 0);
  }

  /** Handles a change made by the replay of one record. */
  public void onStateChange(StateChange change, long nowMillis) {
    switch (change) {
      case StateChange.WorkAccepted c when c.home().equals(shared.shard) ->
          waiting.addAll(c.submission(), nowMillis);
      case StateChange.WorkMoved c when c.to().equals(shared.shard) ->
          c.runs().stream()
              .map(RunId::workload)
              .distinct()
              .forEach(w -> waiting.addAll(w, nowMillis));
      case StateChange.WorkMoved c when c.from().equals(shared.shard) ->
          c.runs().forEach(waiting::onMoveReplayed);
      case StateChange.WorkCancelled c -> ends.reconcile(c.submission());
      case StateChange.ReplicasChanged c -> replicasChanged(c.service(), nowMillis);
      case StateChange.RunsStarted c when c.shard().equals(shared.shard) ->
          c.placements().forEach(this::onStartReplayed);
      case StateChange.RunsEnded c when c.shard().equals(shared.shard) ->
          c.ends().forEach(e -> ends.onEndReplayed(e, nowMillis));
      default -> {}
    }
  }

  /** Handles the result of a start call. */
  public void onStartResult(TaskId task, StartResult answer, long nowMillis) {
    RunEntry entry = shared.runs.get(task.run());
    if (answer == StartResult.FENCED) {
      fenced = true;
    }
    if (entry == null
        || entry.attempt != task.attempt()
        || entry.phase() != RunEntry.Phase.STARTING) {
      return;
    }
    switch (answer) {
      case STARTED -> shared.confirm(entry, nowMillis);
      case NOT_RUN, FENCED -> ends.endNotRun(entry, ReleaseReason.START_FAILED, nowMillis);
      case UNKNOWN -> shared.links.get(entry.worker).syncRequested = true;
    }
  }

  /** Handles a sync that a worker rejected because it has seen a higher epoch. */
  public void onSyncFenced(String worker) {
    fenced = true;
    syncs.onSyncFailed(worker);
  }

  /** Returns the commands to execute now; none once this owner is fenced. */
  public List<OwnerCommand> tick(long nowMillis, Permission permission) {
    if (fenced) {
      return List.of();
    }
    List<OwnerCommand> commands = new ArrayList<>();
    ends.expireLeases(nowMillis);
    waiting.releaseHeld(nowMillis);
    if (permission.mayStart()) {
      shared.backoff.due(nowMillis).forEach(r -> waiting.requeue(r, nowMillis));
      place(nowMillis);
      stopOverLimit();
      commands.addAll(starts(nowMillis, permission.logAvailable()));
    }
    if (permission.mayRenew()) {
      commands.addAll(syncs.syncs(nowMillis));
    }
    if (permission.logAvailable()) {
      ends.removeReplayedEnds();
      ends.restartUnrecorded(nowMillis);
      shared.outbox.due(nowMillis).forEach(r -> commands.add(new OwnerCommand.Append(r)));
    } else {
      ends.restartWithoutLog(nowMillis);
    }
    return commands;
  }

  /** Returns whether runs are held because workers that have not reported may run them. */
  public boolean isHoldingRuns() {
    return shared.holdingRuns;
  }

  private void adopt(RunView view, long nowMillis) {
    if (view.state() == RunState.STARTED) {
      RunEntry entry = new RunEntry(view, RunEntry.Phase.RUNNING);
      entry.leaseExpiresAtMillis = nowMillis + shared.settings.takeoverExpiryBoundMillis();
      shared.runs.add(entry);
      shared.addUncommittedUnits(view.team(), 1);
      return;
    }
    if (view.spec().idempotent()) {
      shared.runs.add(new RunEntry(view, RunEntry.Phase.HELD));
      shared.addUncommittedUnits(view.team(), 1);
      return;
    }
    shared.runs.add(new RunEntry(view, RunEntry.Phase.WAITING));
  }

  private void place(long nowMillis) {
    shared
        .placer
        .decide(nowMillis, MAX_DECISIONS_PER_TICK, this::budget)
        .forEach(this::applyDecision);
  }

  /** Returns the units of a team's limit that the placer may use in this shard. */
  protected int budget(String team) {
    return Math.max(0, usableBudget(team) - shared.uncommittedUnits.getOrDefault(team, 0));
  }

  /** Returns the units of a team's limit held by this shard, less those being moved away. */
  private int usableBudget(String team) {
    return shared.state.budget(team, account()) - withheld.getOrDefault(team, 0);
  }

  /** Excludes units of a team's budget from use while they are moved to another account. */
  public void withholdBudget(String team, int units) {
    withheld.merge(team, units, Integer::sum);
  }

  private void applyDecision(Decision decision) {
    switch (decision) {
      case Decision.Place p -> onPlaced(p);
      case Decision.PlaceGang g -> g.members().forEach(this::onPlaced);
      case Decision.Preempt p -> stop(p.victim(), RunEntry.StopReason.PREEMPTED);
      case Decision.Infeasible i -> markInfeasible(i.run());
    }
  }

  private void onPlaced(Decision.Place place) {
    RunEntry entry = shared.runs.get(place.run().run());
    entry.attempt = place.run().attempt();
    entry.worker = place.worker();
    entry.confirmed = false;
    entry.mayHaveRun = false;
    entry.stop = RunEntry.StopReason.NONE;
    entry.committed = true;
    shared.runs.changePhase(entry, RunEntry.Phase.RECORDING);
    shared.links.get(place.worker()).tasks.put(entry.task(), entry);
    shared.outbox.addStart(new LogRecord.Placement(entry.task(), place.worker()));
  }

  private void markInfeasible(PendingRun run) {
    RunEntry entry = shared.runs.get(run.run());
    if (entry == null || entry.phase() != RunEntry.Phase.WAITING) {
      return;
    }
    shared.placer.remove(entry.run);
    entry.attempt = run.attempt();
    shared.runs.changePhase(entry, RunEntry.Phase.ENDING);
    shared.outbox.addEnd(new LogRecord.End(entry.task(), Outcome.INFEASIBLE, true));
    if (entry.view.gangSize() > 1) {
      shared.gang(entry.run.workload()).forEach(e -> markInfeasible(e.toPendingRun(1)));
    }
  }

  private List<OwnerCommand> starts(long nowMillis, boolean logAvailable) {
    return shared.runs.inPhases(RunEntry.Phase.READY, RunEntry.Phase.RECORDING).stream()
        .filter(e -> startable(e, logAvailable))
        .map(e -> start(e, nowMillis))
        .toList();
  }

  /** Returns whether a placed run may start now. */
  protected boolean startable(RunEntry entry, boolean logAvailable) {
    if (entry.phase() == RunEntry.Phase.READY) {
      return true;
    }
    return entry.phase() == RunEntry.Phase.RECORDING && !logAvailable && entry.idempotent();
  }

  private OwnerCommand start(RunEntry entry, long nowMillis) {
    shared.runs.changePhase(entry, RunEntry.Phase.STARTING);
    entry.startSentAtMillis = nowMillis;
    entry.leaseExpiresAtMillis = nowMillis + shared.settings.leaseExpiryBoundMillis();
    return new OwnerCommand.Start(entry.worker, entry.task(), entry.view.spec());
  }

  private void onStartReplayed(LogRecord.Placement placement) {
    shared.outbox.removeStart(placement.task());
    RunEntry entry = shared.runs.get(placement.task().run());
    if (entry == null
        || entry.attempt != placement.task().attempt()
        || entry.phase() != RunEntry.Phase.RECORDING) {
      return;
    }
    if (entry.stop == RunEntry.StopReason.CANCELLED) {
      ends.end(entry, Outcome.CANCELLED, true, ReleaseReason.STOPPED, 0);
      return;
    }
    shared.runs.changePhase(entry, RunEntry.Phase.READY);
  }

  private void stopOverLimit() {
    shared.state.configuration().teams().forEach(t -> stopOverLimit(t.name()));
  }

  private void stopOverLimit(String team) {
    int excess = running(team) - countHeld(team) - usableBudget(team);
    if (excess <= 0) {
      return;
    }
    List<RunEntry> running =
        shared.runs.onWorkers().stream().filter(e -> e.view.team().equals(team)).toList();
    long stopping = running.stream().filter(RunEntry::stopping).count();
    running.stream()
        .filter(e -> !e.stopping())
        .sorted(Comparator.comparing(ShardOwner::costOfStopping))
        .limit(Math.max(0, excess - stopping))
        .forEach(e -> shared.stop(e, RunEntry.StopReason.OVER_LIMIT));
  }

  /** Counts held runs; stopping other runs would not compensate for them. */
  private int countHeld(String team) {
    return (int)
        shared.runs.inPhases(RunEntry.Phase.HELD).stream()
            .filter(e -> e.view.team().equals(team))
            .count();
  }

  private static int costOfStopping(RunEntry entry) {
    TaskSpec spec = entry.view.spec();
    if (spec.idempotent() && spec.checkpointable()) {
      return 0;
    }
    return spec.idempotent() ? 1 : 2;
  }

  /** Returns the account that holds this shard's part of the teams' limits. */
  public BudgetAccount account() {
    return BudgetAccount.of(shared.shard);
  }

  private void stop(TaskId task, RunEntry.StopReason reason) {
    Optional.ofNullable(shared.runs.get(task.run()))
        .filter(e -> e.attempt == task.attempt() && e.onWorker() && !e.stopping())
        .ifPresent(e -> shared.stop(e, reason));
  }

  private void replicasChanged(String service, long nowMillis) {
    String workload = "service:" + service;
    ends.reconcile(workload);
    waiting.addAll(workload, nowMillis);
  }

  /** Returns whether a worker has answered recent syncs. */
  public boolean isReachable(String worker) {
    return syncs.isReachable(worker);
  }

  /** Updates the workers from the shard's part of the platform's host list. */
  public void updateWorkers(Collection<WorkerInfo> listed, long nowMillis) {
    syncs.updateWorkers(listed);
  }

  /**
   * Handles a worker's report in response to a sync.
   *
   * @param sentAtMillis when the sync was sent
   */
  public void onSyncReport(String worker, WorkerReport report, long sentAtMillis, long nowMillis) {
    syncs.onSyncReport(worker, report, sentAtMillis, nowMillis);
  }

  /** Handles a sync that got no response. */
  public void onSyncFailed(String worker) {
    syncs.onSyncFailed(worker);
  }

  /**
   * Moves runs that lack capacity in this shard to another shard. This shard no longer starts them,
   * even while the move record has not reached the log.
   *
   * @param room maximum total resources of the moved runs
   * @param max maximum number of runs
   * @return number of runs moved
   */
  public int moveWaitingRuns(ShardId to, Resources room, int max) {
    return waiting.moveWaitingRuns(to, room, max);
  }
}
