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

/** What really runs and ran, and what callers were told. Knows nothing of the implementation. */
final class Truth {
  /** Longest time until leases lapse and the rest of a broken gang is stopped. */
  private static final long GANG_REPAIR_MILLIS = 20_000;

  private final Events events;
  private final Map<String, Map<TaskId, TaskSpec>> onWorkers = new TreeMap<>();
  private final Map<RunId, Integer> executions = new HashMap<>();
  private final Map<RunId, Integer> now = new HashMap<>();
  private final Map<String, Submission> submissions = new TreeMap<>();
  private final Map<String, Long> brokenSince = new HashMap<>();
  private final Set<RunId> succeeded = new HashSet<>();
  private final Set<String> ran = new HashSet<>();
  private final Set<String> refusedAsNotRun = new HashSet<>();
  private final List<String> violations = new ArrayList<>();

  Truth(Events events) {
    this.events = events;
  }

  void began(WorkerInfo worker, TaskId task, TaskSpec spec) {
    Map<TaskId, TaskSpec> tasks = onWorkers.computeIfAbsent(worker.name(), n -> new TreeMap<>());
    tasks.put(task, spec);
    Resources used =
        tasks.values().stream().map(TaskSpec::resources).reduce(Resources.NONE, Resources::plus);
    check(used.fitsIn(worker.total()), "worker " + worker.name() + " overcommitted by " + task);
    RunId run = task.run();
    check(now.merge(run, 1, Integer::sum) == 1, "run " + run + " in two places");
    boolean first = executions.merge(run, 1, Integer::sum) == 1;
    check(first || spec.idempotent(), "run " + run + " not idempotent, ran again as " + task);
    ran.add(run.workload());
    check(!refusedAsNotRun.contains(run.workload()), run + " ran after a refusal as not run");
  }

  void ended(WorkerInfo worker, TaskId task, TaskResult result) {
    onWorkers.get(worker.name()).remove(task);
    now.merge(task.run(), -1, Integer::sum);
    if (result == TaskResult.SUCCEEDED) {
      succeeded.add(task.run());
    }
  }

  void refusedAsNotRun(String submission) {
    refusedAsNotRun.add(submission);
    check(!ran.contains(submission), submission + " had run when refused as not run");
  }

  boolean succeeded(RunId run) {
    return succeeded.contains(run);
  }

  /** Says whose a submission is, and how many tasks of a gang start together. */
  void expect(Submission s) {
    submissions.put(s.id(), s);
  }

  /** The team of each task that runs now. */
  List<String> runningTeams() {
    return running().stream().map(r -> teamOf(r.workload())).toList();
  }

  private String teamOf(String workload) {
    Submission s = submissions.get(workload);
    return s == null ? "large" : s.team();
  }

  /** Holds gangs to start whole: a part may not run for long while the rest never started. */
  void checkGangs() {
    submissions.values().stream().filter(Submission::gang).forEach(this::checkGang);
  }

  private void checkGang(Submission s) {
    List<RunId> members =
        IntStream.range(0, s.tasks()).mapToObj(i -> new RunId(s.id(), i)).toList();
    long running = members.stream().filter(r -> now.getOrDefault(r, 0) > 0).count();
    long waiting =
        members.stream().filter(r -> now.getOrDefault(r, 0) == 0 && !succeeded(r)).count();
    if (running == 0 || waiting == 0) {
      brokenSince.remove(s.id());
      return;
    }
    long since = brokenSince.computeIfAbsent(s.id(), k -> events.now());
    check(
        events.now() - since <= GANG_REPAIR_MILLIS,
        "gang " + s.id() + " runs " + running + " and lacks " + waiting);
  }

  /** Runs of everything that runs now. */
  List<RunId> running() {
    return onWorkers.values().stream()
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
