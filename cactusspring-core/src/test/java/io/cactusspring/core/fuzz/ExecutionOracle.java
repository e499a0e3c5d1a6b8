package io.cactusspring.core.fuzz;

import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.RunId;
import io.cactusspring.core.model.Submission;
import io.cactusspring.core.model.TaskId;
import io.cactusspring.core.model.TaskSpec;
import io.cactusspring.core.model.WorkerInfo;
import io.cactusspring.core.shard.TaskResult;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;

/**
 * Records which tasks run and have run and what callers were told, independently of the code under
 * test, and collects the violations of its invariants.
 */
final class ExecutionOracle {
  /**
   * Longest time until leases lapse and the remaining members of an incomplete gang are stopped.
   */
  private static final long MAX_INCOMPLETE_GANG_MILLIS = 20_000;

  private final EventQueue events;
  private final Map<String, Map<TaskId, TaskSpec>> tasksByWorker = new TreeMap<>();
  private final Map<RunId, Integer> executionCounts = new HashMap<>();
  private final Map<RunId, Integer> runningCounts = new HashMap<>();
  private final Map<String, Submission> submissions = new TreeMap<>();
  private final Map<String, Long> incompleteSince = new HashMap<>();
  private final Set<RunId> succeeded = new HashSet<>();
  private final Set<String> startedWorkloads = new HashSet<>();
  private final Set<String> refusedWorkloads = new HashSet<>();
  private final List<String> violations = new ArrayList<>();

  ExecutionOracle(EventQueue events) {
    this.events = events;
  }

  void recordStart(WorkerInfo worker, TaskId task, TaskSpec spec) {
    Map<TaskId, TaskSpec> tasks =
        tasksByWorker.computeIfAbsent(worker.name(), n -> new TreeMap<>());
    tasks.put(task, spec);
    Resources used =
        tasks.values().stream().map(TaskSpec::resources).reduce(Resources.NONE, Resources::plus);
    check(used.fitsIn(worker.total()), "worker " + worker.name() + " overcommitted by " + task);
    RunId run = task.run();
    check(
        runningCounts.merge(run, 1, Integer::sum) == 1,
        "run " + run + " runs in two places at once");
    boolean first = executionCounts.merge(run, 1, Integer::sum) == 1;
    check(
        first || spec.idempotent(),
        "run " + run + " is not idempotent and started again as " + task);
    startedWorkloads.add(run.workload());
    check(
        !refusedWorkloads.contains(run.workload()),
        run + " started after its submission was refused as not run");
  }

  void recordEnd(WorkerInfo worker, TaskId task, TaskResult result) {
    tasksByWorker.get(worker.name()).remove(task);
    runningCounts.merge(task.run(), -1, Integer::sum);
    if (result == TaskResult.SUCCEEDED) {
      succeeded.add(task.run());
    }
  }

  void recordNotRunRefusal(String submission) {
    refusedWorkloads.add(submission);
    check(
        !startedWorkloads.contains(submission),
        submission + " had started before it was refused as not run");
  }

  boolean succeeded(RunId run) {
    return succeeded.contains(run);
  }

  /** Records the team of a submission and, for a gang, how many tasks start together. */
  void recordSubmission(Submission s) {
    submissions.put(s.id(), s);
  }

  /** Returns the team of each task that is running now. */
  List<String> runningTeams() {
    return running().stream().map(r -> teamOf(r.workload())).toList();
  }

  private String teamOf(String workload) {
    Submission s = submissions.get(workload);
    return s == null ? "large" : s.team();
  }

  /**
   * Checks that gangs start whole: some members may not run for longer than {@link
   * #MAX_INCOMPLETE_GANG_MILLIS} while others neither run nor have succeeded.
   */
  void checkGangs() {
    submissions.values().stream().filter(Submission::gang).forEach(this::checkGang);
  }

  private void checkGang(Submission s) {
    List<RunId> members =
        IntStream.range(0, s.tasks()).mapToObj(i -> new RunId(s.id(), i)).toList();
    long running = members.stream().filter(r -> runningCounts.getOrDefault(r, 0) > 0).count();
    long waiting =
        members.stream()
            .filter(r -> runningCounts.getOrDefault(r, 0) == 0 && !succeeded(r))
            .count();
    if (running == 0 || waiting == 0) {
      incompleteSince.remove(s.id());
      return;
    }
    long since = incompleteSince.computeIfAbsent(s.id(), k -> events.now());
    check(
        events.now() - since <= MAX_INCOMPLETE_GANG_MILLIS,
        "gang " + s.id() + " is incomplete; members running: " + running + ", waiting: " + waiting);
  }

  /** Returns the run of each task that is running now. */
  List<RunId> running() {
    return tasksByWorker.values().stream()
        .flatMap(tasks -> tasks.keySet().stream())
        .map(TaskId::run)
        .toList();
  }

  void check(boolean holds, String violation) {
    if (!holds) {
      violations.add("at " + events.now() + " ms: " + violation);
    }
  }

  List<String> violations() {
    return violations;
  }
}
