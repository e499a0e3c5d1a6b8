package io.cactusspring.jobs.schedule;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.SiteConfiguration;
import io.cactusspring.jobs.model.StepId;
import io.cactusspring.jobs.model.TaskId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/** The owner's state of executors and jobs, shared by the parts of the scheduler. */
final class OwnerState {
  final SchedulerSettings settings;
  final long term;
  final Map<String, LiveExecutor> executors = new LinkedHashMap<>();
  final Map<String, LiveJob> jobs = new LinkedHashMap<>();
  final Set<LiveJob> changed = new LinkedHashSet<>();
  final List<Action> actions = new ArrayList<>();
  final DecisionListener decisionListener;
  SiteConfiguration configuration = SiteConfiguration.NONE;
  private final Map<String, Integer> runsByJob = new HashMap<>();
  private final Map<String, Resources> usage = new HashMap<>();
  private final Function<String, Optional<JobSpec>> specs;

  OwnerState(
      SchedulerSettings settings,
      long term,
      Function<String, Optional<JobSpec>> specs,
      DecisionListener decisionListener) {
    this.settings = settings;
    this.term = term;
    this.specs = specs;
    this.decisionListener = decisionListener;
  }

  LiveExecutor executor(String id) {
    return executors.computeIfAbsent(id, LiveExecutor::new);
  }

  /** Returns a task of an unfinished job, or null if there is none with this id. */
  LiveTask task(TaskId id) {
    LiveJob job = jobs.get(id.job());
    return job == null ? null : job.task(id);
  }

  /** Returns a step of an unfinished job, or null if there is none with this id. */
  LiveStep step(StepId id) {
    LiveTask first = task(new TaskId(id.job(), id.occurrence(), id.step(), 0));
    return first == null ? null : first.step();
  }

  /** Returns the submission of a job, which may be finished. */
  Optional<JobSpec> spec(String job) {
    return specs.apply(job);
  }

  /**
   * Returns the queue of a job as configured now or, if it was removed, as it was when the job was
   * accepted.
   */
  Queue queue(LiveJob job) {
    Queue accepted = job.spec().queue();
    return configuration.queue(accepted.name()).orElse(accepted);
  }

  void addRun(LiveExecutor executor, Run run) {
    executor.add(run);
    runsByJob.merge(run.key().task().job(), 1, Integer::sum);
    usage.merge(run.organisation(), run.spec().resources(), Resources::plus);
  }

  void removeRun(LiveExecutor executor, Run run) {
    if (executor.remove(run.key())) {
      runsByJob.computeIfPresent(run.key().task().job(), (job, n) -> n == 1 ? null : n - 1);
      usage.merge(run.organisation(), run.spec().resources(), Resources::minus);
    }
  }

  /** Returns whether any run of a job is counted on an executor. */
  boolean hasRuns(String job) {
    return runsByJob.containsKey(job);
  }

  Resources usage(String organisation) {
    return usage.getOrDefault(organisation, Resources.NONE);
  }
}
