package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.StepSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The work of the accepted jobs, which new jobs of the same or a lower priority have to wait for.
 *
 * <p>It is computed from all jobs at most every {@link #REFRESH_MILLIS}; jobs that are accepted in
 * between are added to it.
 */
final class Backlog {
  /** Ten times a second follows the backlog closely enough, as callers count in seconds. */
  static final long REFRESH_MILLIS = 100;

  /**
   * Long-running tasks end at times that are not known. At least this share of the processors is
   * assumed to be available to other tasks.
   */
  private static final double MIN_CAPACITY_SHARE = 0.1;

  /**
   * What one job contributes.
   *
   * @param processorMillis processor time that its unfinished tasks still need
   * @param processors processors that it can use at the same time
   * @param waitingProcessors processors of its tasks that could start now
   * @param usefulUntil when its result is of no use any more, and its tasks are placed last
   */
  private record Contribution(
      String service,
      int priority,
      double processorMillis,
      double processors,
      double waitingProcessors,
      double usefulUntil) {
    /** Returns the processor time that the job can use within a time from now. */
    double within(double millis, double capacity, long now) {
      double mostUntilUseless = capacity * (usefulUntil - now);
      return Math.min(processorMillis, Math.min(processors * millis, mostUntilUseless));
    }
  }

  /** The executors of one service; processors are relative to those of a normal executor. */
  private static final class Capacity {
    private double processors;
    private double freeProcessors;
    private double longRunningProcessors;

    double available() {
      return Math.max(processors - longRunningProcessors, processors * MIN_CAPACITY_SHARE);
    }
  }

  /**
   * What a new job finds.
   *
   * @param processorMillis processor time of the jobs that are served before it
   * @param processors processors that are not occupied by long-running tasks
   * @param waitingProcessors processors of the tasks that wait for an executor
   */
  record Load(
      double processorMillis, double processors, double waitingProcessors, double freeProcessors) {
    /** Returns whether tasks wait because there is no room, not because they have just arrived. */
    boolean isShortage() {
      return processors > 0 && waitingProcessors > freeProcessors;
    }

    double expectedStartMillis() {
      return processors > 0 ? processorMillis / processors : 0;
    }
  }

  private final OwnerState state;
  private final List<Contribution> contributions = new ArrayList<>();
  private final Map<String, Capacity> capacities = new HashMap<>();
  private long refreshedAt;
  private boolean refreshed;

  Backlog(OwnerState state) {
    this.state = state;
  }

  /**
   * Returns what a new job of a queue finds.
   *
   * @param horizonMillis latest start of the new job: only what other jobs can use until then
   *     delays it, so that a job with a wrong estimate but few tasks does not count as a backlog
   */
  Load ahead(Queue queue, double horizonMillis, long now) {
    refreshIfDue(now);
    Capacity capacity = capacities.getOrDefault(queue.service(), new Capacity());
    double work = 0;
    double waiting = 0;
    for (Contribution c : contributions) {
      if (c.service.equals(queue.service())
          && c.priority <= queue.priority()
          && c.usefulUntil > now) {
        work += c.within(horizonMillis, capacity.available(), now);
        waiting += c.waitingProcessors;
      }
    }
    return new Load(work, capacity.available(), waiting, capacity.freeProcessors);
  }

  /** Adds a job that was accepted just now. */
  void add(JobSpec spec, long now) {
    boolean due = !refreshed || now - refreshedAt >= REFRESH_MILLIS;
    // A scheduled job is added when it is due; a long-running one once it occupies processors.
    if (due || spec.repetitions() > 0 || isLongRunning(spec)) {
      return;
    }
    RemainingWork work = RemainingWork.of(spec, state.durations);
    double first =
        spec.steps().stream()
            .filter(s -> s.after().isEmpty())
            .mapToDouble(s -> s.tasks() * RemainingWork.processorsOf(s))
            .sum();
    double most =
        spec.steps().stream()
            .mapToDouble(s -> s.tasks() * RemainingWork.processorsOf(s))
            .max()
            .orElse(0);
    double useful = AdmissionPolicy.usefulMillis(spec.queue(), work.criticalPathMillis());
    contributions.add(
        new Contribution(
            spec.queue().service(),
            spec.queue().priority(),
            work.processorMillis(),
            most,
            first,
            now + useful));
  }

  private static boolean isLongRunning(JobSpec spec) {
    return spec.steps().stream().anyMatch(StepSpec::longRunning);
  }

  private void refreshIfDue(long now) {
    if (refreshed && now - refreshedAt < REFRESH_MILLIS) {
      return;
    }
    refreshed = true;
    refreshedAt = now;
    contributions.clear();
    capacities.clear();
    state.executors.values().stream()
        .filter(e -> e.listed() && e.isCallable() && !e.isDraining())
        .filter(e -> !state.zones.isEvacuated(e.info().zone()))
        .forEach(this::addCapacity);
    state.jobs.values().stream().filter(j -> !j.isFinal()).forEach(j -> addJob(j, now));
  }

  /** Executors that do not answer count, because they usually return within seconds. */
  private void addCapacity(LiveExecutor executor) {
    Capacity capacity = capacities.computeIfAbsent(executor.info().service(), s -> new Capacity());
    double factor = state.durations.factor(executor);
    capacity.processors += executor.info().capacity().milliProcessors() / 1_000.0 / factor;
    capacity.freeProcessors += executor.free().milliProcessors() / 1_000.0 / factor;
  }

  private void addJob(LiveJob job, long now) {
    if (job.longRunning()) {
      addLongRunning(job);
      return;
    }
    Queue queue = state.queue(job);
    double spent = 0;
    double most = 0;
    double waiting = 0;
    for (LiveStep step : job.steps()) {
      double processors = RemainingWork.processorsOf(step.spec());
      double duration = state.durations.expectedMillis(queue.name(), step.spec());
      if (step.waitingTasks() < step.unfinishedTasks()) {
        spent += spentMillis(step, duration, now) * processors;
      }
      waiting += step.isReady() ? step.waitingTasks() * processors : 0;
      most = Math.max(most, step.unfinishedTasks() * processors);
    }
    double left = RemainingWork.of(job, state.durations).processorMillis() - spent;
    contributions.add(
        new Contribution(
            queue.service(),
            queue.priority(),
            Math.max(0, left),
            most,
            waiting,
            usefulUntil(job, queue)));
  }

  /** Returns for how long the current runs of a step have been running, without overruns. */
  private static double spentMillis(LiveStep step, double duration, long now) {
    double spent = 0;
    for (LiveTask task : step.tasks()) {
      Run run = task.run();
      if (run != null && run.phase() == Run.Phase.RUNNING) {
        spent += Math.min(duration, now - run.phaseAt());
      }
    }
    return spent;
  }

  private double usefulUntil(LiveJob job, Queue queue) {
    if (job.spec().repetitions() > 0) {
      return Double.POSITIVE_INFINITY;
    }
    double path = RemainingWork.of(job.spec(), state.durations).criticalPathMillis();
    return job.submittedAt() + AdmissionPolicy.usefulMillis(queue, path);
  }

  private void addLongRunning(LiveJob job) {
    double processors =
        job.steps().stream()
            .filter(s -> s.spec().longRunning())
            .mapToDouble(
                s ->
                    s.tasks().stream().filter(t -> t.run() != null).count()
                        * RemainingWork.processorsOf(s.spec()))
            .sum();
    Capacity capacity = capacities.get(state.queue(job).service());
    if (capacity != null) {
      capacity.longRunningProcessors += processors;
    }
  }
}
