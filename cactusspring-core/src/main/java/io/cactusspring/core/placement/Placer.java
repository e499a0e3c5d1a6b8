package io.cactusspring.core.placement;

import io.cactusspring.core.model.Arguments;
import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.RunId;
import io.cactusspring.core.model.TaskId;
import io.cactusspring.core.model.WorkerInfo;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToIntFunction;

/**
 * Decides which runs start on which workers of one shard. Not thread-safe; the caller guards it
 * with a lock. The caller passes the current time, in milliseconds of a monotonic clock.
 *
 * <pre>{@code
 * Placer placer = new Placer(PlacementPolicy.builder().build());
 * placer.setTeams(Map.of("counter", 4));
 * placer.putWorker(worker);
 * placer.enqueue(run, nowMillis);
 * List<Decision> decisions = placer.decide(nowMillis, 100, team -> 200);
 * }</pre>
 *
 * @since 0.1
 */
public final class Placer {
  private final PlacerComponents components;
  private final PlacementRules rules;
  private final ShardState state;
  private final WaitingRuns waiting;
  private final Claims claims;

  /** Creates a placer without workers, teams or runs. */
  public Placer(PlacementPolicy policy) {
    this(policy, new PlacementRules());
  }

  Placer(PlacementPolicy policy, PlacementRules rules) {
    Arguments.checkPresent("policy", policy);
    this.components = PlacerComponents.create(policy, rules);
    this.rules = rules;
    this.state = components.state();
    this.waiting = components.waiting();
    this.claims = components.claims();
  }

  /**
   * Replaces the shares of all teams. A team that is not in the map keeps its runs and has a share
   * of 1.
   *
   * @throws IllegalArgumentException if a share is less than 1
   */
  public void setTeams(Map<String, Integer> shareByTeam) {
    shareByTeam.forEach(
        (team, share) -> Arguments.checkRange("share of " + team, share, 1, Integer.MAX_VALUE));
    state.setShares(Map.copyOf(shareByTeam));
  }

  /** Adds a worker, or replaces the description of a known one. */
  public void putWorker(WorkerInfo worker) {
    Arguments.checkPresent("worker", worker);
    state.workers().put(worker);
  }

  /**
   * Marks a worker as reachable or unreachable. An unreachable worker receives no new tasks and
   * keeps its committed ones.
   *
   * @throws IllegalArgumentException if the worker is unknown
   */
  public void setReachable(String worker, boolean reachable) {
    state.workers().setReachable(requireWorker(worker), reachable);
  }

  /**
   * Removes a worker; does nothing if it is unknown.
   *
   * @throws IllegalStateException if tasks are committed on it
   */
  public void removeWorker(String worker) {
    Optional<WorkerState> found = state.workers().get(worker);
    if (found.isEmpty()) {
      return;
    }
    int tasks = found.get().taskCount();
    if (tasks > 0) {
      throw new IllegalStateException(
          "worker " + worker + " has " + tasks + " tasks; expected none");
    }
    claims.removeAllOn(found.get()).forEach(this::addToQueue);
    state.workers().remove(found.get());
  }

  /**
   * Commits a task that already runs on its worker, such as after a recovery.
   *
   * @throws IllegalArgumentException if its worker is unknown
   * @throws IllegalStateException if the task is already committed
   */
  public void commit(CommittedTask task) {
    WorkerState worker = requireWorker(task.worker());
    if (state.task(task.task()).isPresent()) {
      throw new IllegalStateException("task " + task.task() + " is already committed");
    }
    state.commit(
        task, worker, TaskState.UNKNOWN_START, components.preempted().contains(task.task().run()));
  }

  /** Frees the resources of a task; does nothing if it is not committed. */
  public void release(TaskId task, ReleaseReason reason, long nowMillis) {
    Optional<TaskState> found = state.task(task);
    if (found.isEmpty()) {
      return;
    }
    TaskState ended = found.get();
    state.release(ended);
    claims.taskEnded(ended);
    recordOutcome(ended, reason, nowMillis);
  }

  private void recordOutcome(TaskState task, ReleaseReason reason, long nowMillis) {
    Workers workers = state.workers();
    switch (reason) {
      case SUCCEEDED -> {
        components.runTimes().observe(task, nowMillis);
        workers.taskSucceeded(task.worker());
      }
      case FAILED -> workers.taskFailed(task, false, nowMillis);
      case START_FAILED -> workers.taskFailed(task, true, nowMillis);
      case CHECKPOINTED, STOPPED, LAPSED -> workers.taskEndedInconclusively(task, nowMillis);
    }
    if (reason != ReleaseReason.CHECKPOINTED && reason != ReleaseReason.LAPSED) {
      components.preempted().remove(task.id().run());
    }
  }

  /** Records the measured usage of a task; does nothing if it is not committed. */
  public void observeUsage(TaskId task, Resources used, long nowMillis) {
    state.task(task).ifPresent(t -> t.worker().observeUsage(t, used));
  }

  /**
   * Queues a run. The members of a gang are not placed until all of them are queued.
   *
   * @throws IllegalStateException if the run is already queued or has a committed task
   */
  public void enqueue(PendingRun run, long nowMillis) {
    if (!rules.mayQueue(state.runs(run.run()))) {
      throw new IllegalStateException("run " + run.run() + " has a committed task");
    }
    Optional<WaitingUnit> unit = waiting.add(run, nowMillis);
    state.team(run.team()).addWaiting(1);
    unit.ifPresent(this::addToQueue);
  }

  /** Removes a run from the queue; returns whether it was queued. */
  public boolean remove(RunId run) {
    Optional<PendingRun> removed = waiting.remove(run, this::removeUnit);
    removed.ifPresent(r -> state.team(r.team()).addWaiting(-1));
    components.preempted().remove(run);
    return removed.isPresent();
  }

  private void removeUnit(WaitingUnit unit) {
    if (!claims.remove(unit)) {
      state.team(unit.team()).queue(unit.urgency()).remove(unit);
    }
  }

  private void addToQueue(WaitingUnit unit) {
    state.team(unit.team()).queue(unit.urgency()).add(unit);
  }

  /**
   * Decides which runs start now and commits their resources.
   *
   * @param nowMillis current time in milliseconds of the monotonic clock
   * @param maxDecisions maximum number of decisions; a gang counts once
   * @param budgetOfTeam maximum number of tasks of a team in this shard, committed ones included
   */
  public List<Decision> decide(
      long nowMillis, int maxDecisions, ToIntFunction<String> budgetOfTeam) {
    return new DecisionRound(components, nowMillis, maxDecisions, budgetOfTeam).run();
  }

  /** Returns the number of committed tasks of a team. */
  public int running(String team) {
    return state.findTeam(team).map(TeamState::running).orElse(0);
  }

  /** Returns the number of waiting runs of a team. */
  public int waiting(String team) {
    return state.findTeam(team).map(TeamState::waiting).orElse(0);
  }

  /** Returns why a run waits; empty if it is not queued. */
  public Optional<WaitReason> waitReason(RunId run) {
    if (!waiting.contains(run)) {
      return Optional.empty();
    }
    return Optional.of(waiting.unitOf(run).map(this::reasonOf).orElse(WaitReason.GANG_INCOMPLETE));
  }

  private WaitReason reasonOf(WaitingUnit unit) {
    TeamState team = state.team(unit.team());
    if (state.workers().isEmpty()) {
      return WaitReason.NO_WORKER;
    }
    if (claims.contains(unit)) {
      return WaitReason.RESERVED;
    }
    if (team.running() + unit.size() > team.lastBudget()) {
      return WaitReason.TEAM_LIMIT;
    }
    boolean blocked = team.queue(unit.urgency()).isBlocked(unit.shape());
    return blocked ? WaitReason.NO_ROOM : WaitReason.QUEUED;
  }

  /** Returns snapshots of all known workers. */
  public Collection<WorkerView> workers() {
    return state.workers().all().stream().map(WorkerState::view).toList();
  }

  /** Returns the sum of the uncommitted resources of all workers that receive new tasks. */
  public Resources free() {
    return state.workers().all().stream()
        .filter(state.workers()::takesWork)
        .map(WorkerState::free)
        .reduce(Resources.NONE, Resources::plus);
  }

  /** Returns the number of waiting runs. */
  public int waitingRuns() {
    return waiting.size();
  }

  private WorkerState requireWorker(String worker) {
    return state
        .workers()
        .get(worker)
        .orElseThrow(
            () ->
                new IllegalArgumentException(
                    "worker is \"" + worker + "\"; expected a known worker"));
  }
}
