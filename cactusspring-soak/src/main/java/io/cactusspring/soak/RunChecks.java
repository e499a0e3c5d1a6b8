package io.cactusspring.soak;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.Organisation;
import io.cactusspring.jobs.model.TaskId;
import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import io.cactusspring.soak.JobFacts.RunKey;
import io.cactusspring.soak.Observation.Acknowledged;
import io.cactusspring.soak.Observation.Ended;
import io.cactusspring.soak.Observation.ExecutorLost;
import io.cactusspring.soak.Observation.Started;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Checks of what executors run. */
final class RunChecks {
  /** Time after an acknowledged cancellation in which its runs are found and stopped. */
  static final long CANCEL_MILLIS = 5_000;

  /** Number of crashes under a task from which on its further starts are counted. */
  private static final int CRASHES = 3;

  /** Number of starts that may be under way, or decided on old knowledge, after these crashes. */
  private static final int STARTS_AFTER_CRASHES = 2;

  /** A run that is active on an executor. */
  record Active(String executor, TaskId task, int run) {}

  private final SoakOracle.Settings settings;
  private final Map<String, JobFacts> jobs;
  private final Disturbances disturbances;
  private final Findings findings;
  private final Executors executors;
  private final Map<String, Organisation> organisations = new HashMap<>();
  private final Map<Active, JobFacts> active = new HashMap<>();

  RunChecks(
      SoakOracle.Settings settings,
      Map<String, JobFacts> jobs,
      Executors executors,
      Disturbances disturbances,
      Findings findings) {
    this.settings = settings;
    this.jobs = jobs;
    this.executors = executors;
    this.disturbances = disturbances;
    this.findings = findings;
    settings.organisations().forEach(o -> organisations.put(o.name(), o));
  }

  void started(Started start) {
    TaskId task = start.task();
    JobFacts job = jobs.get(task.job());
    if (job == null) {
      findings.add(start.at(), Rule.UNKNOWN_JOB_RUNS, task + " on " + start.executor());
      return;
    }
    checkTask(start, job);
    checkCancellation(start, job);
    checkZone(start);
    active.put(new Active(start.executor(), task, start.run()), job);
    checkResources(start, job);
    if (job.firstStartAt < 0) {
      job.firstStartAt = start.at();
    }
  }

  private void checkTask(Started start, JobFacts job) {
    TaskId task = start.task();
    active.keySet().stream()
        .filter(a -> a.task().equals(task))
        .forEach(
            a ->
                findings.add(
                    start.at(),
                    Rule.DUPLICATE_RUN,
                    "%s run %d on %s while run %d is on %s"
                        .formatted(task, start.run(), start.executor(), a.run(), a.executor())));
    if (job.acknowledgedDone.contains(task)) {
      findings.add(start.at(), Rule.RUN_AFTER_ACKNOWLEDGED_END, task + " on " + start.executor());
    } else {
      job.starts.add(start);
    }
    job.steps.get(task.step()).after().stream()
        .filter(s -> !job.isStepDone(s))
        .forEach(
            s ->
                findings.add(
                    start.at(), Rule.STEP_OUT_OF_ORDER, task + " before the end of step " + s));
    if (job.crashingTasks.contains(task)
        && job.crashes.getOrDefault(task, 0) >= CRASHES
        && job.startsAfterCrashes.merge(task, 1, Integer::sum) == STARTS_AFTER_CRASHES + 1) {
      findings.add(
          start.at(),
          Rule.CRASH_LOOP,
          "%s run %d on %s".formatted(task, start.run(), start.executor()));
    }
    if (job.certainlyNotStored()) {
      findings.add(start.at(), Rule.REJECTED_JOB_RUNS, task + " on " + start.executor());
    }
  }

  private void checkCancellation(Started start, JobFacts job) {
    if (job.cancelledAt >= 0
        && start.at() > job.cancelledAt + CANCEL_MILLIS
        && disturbances.isCalm(job.cancelledAt, start.at())) {
      findings.add(start.at(), Rule.CANCELLED_WORK_RUNS, start.task() + " starts");
    }
  }

  private void checkZone(Started start) {
    String zone = executors.zone(start.executor());
    if (settings.checkEvacuation()
        && executors.isOutOfUse(zone, start.at() - settings.evacuateMillis())) {
      findings.add(
          start.at(),
          Rule.START_IN_EVACUATED_ZONE,
          start.task() + " on " + start.executor() + " in " + zone);
    }
  }

  private void checkResources(Started start, JobFacts job) {
    Resources used = used(a -> a.getKey().executor().equals(start.executor()));
    if (!executors.hasCapacity(start.executor(), used, start.at())) {
      findings.add(start.at(), Rule.CAPACITY_EXCEEDED, start.executor() + " uses " + used);
    }
    Organisation organisation = organisations.get(job.organisation);
    Resources total = used(a -> a.getValue().organisation.equals(job.organisation));
    if (organisation != null && !organisation.allows(total)) {
      findings.add(start.at(), Rule.LIMIT_EXCEEDED, job.organisation + " uses " + total);
    }
  }

  /** Returns the active runs with their jobs. */
  Map<Active, JobFacts> active() {
    return active;
  }

  /** Returns the resources that active runs use in total by what a function names. */
  Map<String, Resources> usedBy(BiFunction<Active, JobFacts, String> name) {
    Map<String, Resources> used = new HashMap<>();
    active.forEach(
        (run, job) ->
            used.merge(
                name.apply(run, job),
                job.steps.get(run.task().step()).committed(),
                Resources::plus));
    return used;
  }

  private Resources used(Predicate<Map.Entry<Active, JobFacts>> filter) {
    return active.entrySet().stream()
        .filter(filter)
        .map(a -> a.getValue().steps.get(a.getKey().task().step()).committed())
        .reduce(Resources.NONE, Resources::plus);
  }

  void ended(Ended end) {
    active.remove(new Active(end.executor(), end.task(), end.run()));
    JobFacts job = jobs.get(end.task().job());
    if (job == null) {
      return;
    }
    job.lastEnds.put(end.task(), end.at());
    if (end.reason() == EndReason.DONE) {
      members(job, end.task()).forEach(job.done::add);
      job.doneRuns.put(new RunKey(end.task(), end.run(), end.executor()), end.at());
    }
  }

  /** Reports the starts after an end that is acknowledged now. */
  void acknowledged(Acknowledged end) {
    JobFacts job = jobs.get(end.task().job());
    if (job == null || end.reason() != EndReason.DONE) {
      return;
    }
    Set<TaskId> tasks = members(job, end.task()).collect(Collectors.toSet());
    Long endedAt = job.doneRuns.get(new RunKey(end.task(), end.run(), end.executor()));
    if (endedAt != null) {
      List<Started> wrong =
          job.starts.stream().filter(s -> tasks.contains(s.task()) && s.at() > endedAt).toList();
      job.starts.removeAll(wrong);
      wrong.forEach(
          s ->
              findings.add(
                  end.at(),
                  Rule.RUN_AFTER_ACKNOWLEDGED_END,
                  "%s run %d on %s started at %d ms; run %d ended at %d ms, acknowledged later"
                      .formatted(s.task(), s.run(), s.executor(), s.at(), end.run(), endedAt)));
    }
    job.acknowledgedDone.addAll(tasks);
  }

  /** Returns the task, or all tasks of its gang: one member that is done completes the gang. */
  static Stream<TaskId> members(JobFacts job, TaskId task) {
    return job.steps.get(task.step()).gang() ? job.tasksOf(task.step()) : Stream.of(task);
  }

  void executorLost(ExecutorLost loss) {
    active.forEach(
        (run, job) -> {
          if (run.executor().equals(loss.executor())) {
            job.lastEnds.put(run.task(), loss.at());
            if (loss.crashed()) {
              job.crashes.merge(run.task(), 1, Integer::sum);
            }
          }
        });
    active.keySet().removeIf(a -> a.executor().equals(loss.executor()));
  }

  void cancelled(JobFacts job, long at) {
    findings.checkAfterCalm(
        at,
        CANCEL_MILLIS,
        Rule.CANCELLED_WORK_RUNS,
        () -> runsOf(job.id).map(a -> a.task() + " still runs on " + a.executor()));
  }

  /** Returns a run of a job. */
  private Optional<Active> runsOf(String job) {
    return active.keySet().stream().filter(a -> a.task().job().equals(job)).findFirst();
  }

  boolean isRunning(String job) {
    return runsOf(job).isPresent();
  }
}
