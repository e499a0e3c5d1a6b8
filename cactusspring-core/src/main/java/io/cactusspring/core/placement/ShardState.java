package io.cactusspring.core.placement;

import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.RunId;
import io.cactusspring.core.model.TaskId;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Workers, teams and committed tasks of one shard, kept consistent with each other. */
final class ShardState {
  private final Workers workers;
  private final Map<String, TeamState> teams = new LinkedHashMap<>();
  private final Map<TaskId, TaskState> tasks = new HashMap<>();
  private final Map<RunId, Integer> tasksByRun = new HashMap<>();
  private Map<String, Integer> shares = Map.of();
  private final ServiceSpread spread = new ServiceSpread();

  ShardState(PlacementPolicy policy, PlacementRules rules) {
    this.workers = new Workers(policy, rules);
  }

  Workers workers() {
    return workers;
  }

  ServiceSpread spread() {
    return spread;
  }

  TeamState team(String name) {
    return teams.computeIfAbsent(name, k -> new TeamState(k, shares.getOrDefault(k, 1)));
  }

  /** Returns a team that has or had runs in this shard. */
  Optional<TeamState> findTeam(String name) {
    return Optional.ofNullable(teams.get(name));
  }

  void setShares(Map<String, Integer> shareByTeam) {
    shares = shareByTeam;
    teams.values().forEach(t -> t.setShare(shares.getOrDefault(t.name(), 1)));
  }

  Iterable<TeamState> teams() {
    return teams.values();
  }

  Optional<TaskState> task(TaskId id) {
    return Optional.ofNullable(tasks.get(id));
  }

  boolean runs(RunId run) {
    return tasksByRun.containsKey(run);
  }

  /** Commits a task; it is preemptible if checkpointable, in no gang and not preempted before. */
  TaskState commit(
      CommittedTask committed, WorkerState worker, long startMillis, boolean preemptedBefore) {
    boolean preemptible =
        committed.spec().checkpointable() && !committed.inGang() && !preemptedBefore;
    TaskState task = new TaskState(committed, worker, startMillis, preemptible);
    tasks.put(task.id(), task);
    tasksByRun.merge(task.id().run(), 1, Integer::sum);
    workers.add(task);
    team(committed.team()).taskStarted(task);
    if (committed.service()) {
      spread.taskStarted(task);
    }
    return task;
  }

  void release(TaskState task) {
    tasks.remove(task.id());
    tasksByRun.computeIfPresent(task.id().run(), (k, n) -> n == 1 ? null : n - 1);
    workers.remove(task);
    team(task.committed().team()).taskEnded(task);
    if (task.committed().service()) {
      spread.taskEnded(task);
    }
  }

  /** Returns the weighted share of a team among the teams with running tasks or waiting runs. */
  double fairShare(TeamState team) {
    long weights = 0;
    for (TeamState other : teams.values()) {
      weights += other.running() + other.waiting() > 0 ? other.share() : 0;
    }
    return weights == 0 ? 1 : (double) team.share() / weights;
  }

  boolean isAboveShare(TeamState team) {
    return team.dominantShare(workers.total()) > fairShare(team);
  }

  Resources total() {
    return workers.total();
  }
}
