package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.StepSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The work of the accepted jobs, which new jobs of the same or a lower priority have to wait for,
 * in the scarce resource of their service.
 *
 * <p>It is computed from all jobs at most every {@link #REFRESH_MILLIS}; jobs that are accepted in
 * between are added to it.
 */
final class Backlog {
  /** Ten times a second follows the backlog closely enough, as callers count in seconds. */
  static final long REFRESH_MILLIS = 100;

  /**
   * Long-running tasks end at times that are not known. At least this share of the capacity is
   * assumed to be available to other tasks.
   */
  private static final double MIN_CAPACITY_SHARE = 0.1;

  /**
   * What one job contributes.
   *
   * @param work what its unfinished tasks still need, in milliseconds times the amount
   * @param most amount that it can use at the same time
   * @param waiting amount that its tasks need that could start now
   * @param usefulUntil when its result is of no use any more, and its tasks are placed last
   */
  private record Contribution(
      String service, int priority, double work, double most, double waiting, double usefulUntil) {
    /** Returns the part of its work that the job can have done within a time from now. */
    double within(double millis, double capacity, long now) {
      double mostUntilUseless = capacity * (usefulUntil - now);
      return Math.min(work, Math.min(most * millis, mostUntilUseless));
    }
  }

  /** The executors of one service; amounts are relative to those of a normal executor. */
  private static final class Capacity {
    private double amount;
    private double free;
    private double longRunning;

    double available() {
      return Math.max(amount - longRunning, amount * MIN_CAPACITY_SHARE);
    }
  }

  /**
   * What a new job finds.
   *
   * @param work work of the jobs that are served before it, in milliseconds times the amount
   * @param capacity amount that is not occupied by long-running tasks
   * @param waiting amount that the tasks need that wait for an executor
   * @param free amount that is free now
   */
  record Load(double work, double capacity, double waiting, double free) {
    /** Returns whether tasks wait because there is no room, not because they have just arrived. */
    boolean isShortage() {
      return capacity > 0 && waiting > free;
    }

    double expectedStartMillis() {
      return capacity > 0 ? work / capacity : 0;
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
        waiting += c.waiting;
      }
    }
    return new Load(work, capacity.available(), waiting, capacity.free);
  }

  /** Adds a job that was accepted just now. */
  void add(JobSpec spec, long now) {
    boolean due = !refreshed || now - refreshedAt >= REFRESH_MILLIS;
    // A scheduled job is added when it is due; a long-running one once it occupies processors.
    if (due || spec.repetitions() > 0 || isLongRunning(spec)) {
      return;
    }
    ResourceKind kind = state.scarceResource(spec.queue().service(), now);
    RemainingWork work = RemainingWork.of(spec, state.durations, kind);
    double first =
        spec.steps().stream()
            .filter(s -> s.after().isEmpty())
            .mapToDouble(s -> s.tasks() * kind.of(s.committed()))
            .sum();
    double most =
        spec.steps().stream().mapToDouble(s -> s.tasks() * kind.of(s.committed())).max().orElse(0);
    double useful = AdmissionPolicy.usefulMillis(spec.queue(), work.criticalPathMillis());
    contributions.add(
        new Contribution(
            spec.queue().service(),
            spec.queue().priority(),
            work.work(),
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
        .forEach(e -> addCapacity(e, now));
    state.jobs.values().stream().filter(j -> !j.isFinal()).forEach(j -> addJob(j, now));
  }

  /** Executors that do not answer count, because they usually return within seconds. */
  private void addCapacity(LiveExecutor executor, long now) {
    String service = executor.info().service();
    ResourceKind kind = state.scarceResource(service, now);
    Capacity capacity = capacities.computeIfAbsent(service, s -> new Capacity());
    double factor = state.durations.factor(executor);
    capacity.amount += kind.of(executor.info().capacity()) / factor;
    capacity.free += kind.of(executor.free()) / factor;
  }

  private void addJob(LiveJob job, long now) {
    Queue queue = state.queue(job);
    ResourceKind kind = state.scarceResource(queue.service(), now);
    if (job.longRunning()) {
      addLongRunning(job, queue, kind);
      return;
    }
    double spent = 0;
    double most = 0;
    double waiting = 0;
    for (LiveStep step : job.steps()) {
      double amount = kind.of(step.spec().committed());
      double duration = state.durations.expectedMillis(queue.name(), step.spec());
      if (step.waitingTasks() < step.unfinishedTasks()) {
        spent += spentMillis(step, duration, now) * amount;
      }
      waiting += step.isReady() ? step.waitingTasks() * amount : 0;
      most = Math.max(most, step.unfinishedTasks() * amount);
    }
    double left = RemainingWork.of(job, state.durations, kind).work() - spent;
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
    double path =
        RemainingWork.of(job.spec(), state.durations, ResourceKind.PROCESSORS).criticalPathMillis();
    return job.submittedAt() + AdmissionPolicy.usefulMillis(queue, path);
  }

  private void addLongRunning(LiveJob job, Queue queue, ResourceKind kind) {
    double amount =
        job.steps().stream()
            .filter(s -> s.spec().longRunning())
            .mapToDouble(
                s ->
                    s.tasks().stream().filter(t -> t.run() != null).count()
                        * kind.of(s.spec().committed()))
            .sum();
    Capacity capacity = capacities.get(queue.service());
    if (capacity != null) {
      capacity.longRunning += amount;
    }
  }
}
