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
 * @param processorMillis sum over the unfinished tasks of duration times processors
 */
record RemainingWork(double criticalPathMillis, double processorMillis) {
  /** Adds up steps, in the order of their numbers. */
  private static final class Sum {
    private final Durations durations;
    private final String queue;
    private final List<Double> ends = new ArrayList<>();
    private double longest;
    private double processors;

    Sum(JobSpec job, Durations durations) {
      this.durations = durations;
      queue = job.queue().name();
    }

    void add(StepSpec step, long unfinishedTasks) {
      double start = step.after().stream().mapToDouble(ends::get).max().orElse(0);
      double duration = unfinishedTasks == 0 ? 0 : durations.expectedMillis(queue, step);
      ends.add(start + duration);
      longest = Math.max(longest, start + duration);
      processors += unfinishedTasks * duration * processorsOf(step);
    }

    RemainingWork result() {
      return new RemainingWork(longest, processors);
    }
  }

  /** Returns the remaining work of the occurrences of a job that are due. */
  static RemainingWork of(LiveJob job, Durations durations) {
    Sum sum = new Sum(job.spec(), durations);
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
  static RemainingWork of(JobSpec job, Durations durations) {
    Sum sum = new Sum(job, durations);
    job.steps().forEach(step -> sum.add(step, step.tasks()));
    return sum.result();
  }

  /** Returns the processors that one task of a step occupies. */
  static double processorsOf(StepSpec step) {
    return step.committed().milliProcessors() / 1_000.0;
  }
}
