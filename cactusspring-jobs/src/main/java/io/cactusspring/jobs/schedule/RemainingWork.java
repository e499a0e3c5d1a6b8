package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.StepSpec;
import java.util.ArrayList;
import java.util.List;

/**
 * The work that the unfinished tasks of a job still need, as if each of them had to start anew on a
 * normal executor.
 *
 * @param criticalPathMillis duration of the longest chain of dependent steps
 * @param work sum over the unfinished tasks of their duration in milliseconds times the amount of
 *     one kind of resource that they occupy
 */
record RemainingWork(double criticalPathMillis, double work) {
  /** Adds up steps, in the order of their numbers. */
  private static final class Sum {
    private final Durations durations;
    private final ResourceKind kind;
    private final String queue;
    private final List<Double> ends = new ArrayList<>();
    private double longest;
    private double work;

    Sum(JobSpec job, Durations durations, ResourceKind kind) {
      this.durations = durations;
      this.kind = kind;
      queue = job.queue().name();
    }

    void add(StepSpec step, long unfinishedTasks) {
      double start = step.after().stream().mapToDouble(ends::get).max().orElse(0);
      double duration = unfinishedTasks == 0 ? 0 : durations.expectedMillis(queue, step);
      ends.add(start + duration);
      longest = Math.max(longest, start + duration);
      work += unfinishedTasks * duration * kind.of(step.committed());
    }

    RemainingWork result() {
      return new RemainingWork(longest, work);
    }
  }

  /** Returns the remaining work of the occurrences of a job that are due. */
  static RemainingWork of(LiveJob job, Durations durations, ResourceKind kind) {
    Sum sum = new Sum(job.spec(), durations, kind);
    for (LiveStep step : job.steps()) {
      if (step.id().step() == 0) {
        // The steps of an occurrence follow each other; occurrences do not depend on each other.
        sum.ends.clear();
      }
      sum.add(step.spec(), step.unfinishedTasks());
    }
    return sum.result();
  }

  /** Returns the work of one occurrence of a job that has not begun. */
  static RemainingWork of(JobSpec job, Durations durations, ResourceKind kind) {
    Sum sum = new Sum(job, durations, kind);
    job.steps().forEach(step -> sum.add(step, step.tasks()));
    return sum.result();
  }

  /** Returns the duration of the longest chain of unfinished steps of a job. */
  static double criticalPathMillis(LiveJob job, Durations durations) {
    return of(job, durations, ResourceKind.PROCESSORS).criticalPathMillis;
  }
}
