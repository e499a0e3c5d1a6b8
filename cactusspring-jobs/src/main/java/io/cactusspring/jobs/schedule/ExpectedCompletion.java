package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.StepSpec;
import java.util.ArrayList;
import java.util.List;

/** The objective of a job and the expected completion of its steps, by expected durations. */
final class ExpectedCompletion {
  private ExpectedCompletion() {}

  /**
   * Returns the target duration of a job: its critical path times the queue's stretch, and more.
   */
  static double objectiveMillis(LiveJob job, Queue queue, Durations durations) {
    return queue.stretch() * criticalPathMillis(job, durations) + queue.targetLatencyMillis();
  }

  /** Returns the duration of the longest chain of steps, done or not. */
  private static double criticalPathMillis(LiveJob job, Durations durations) {
    double longest = 0;
    List<Double> ends = new ArrayList<>();
    for (StepSpec step : job.spec().steps()) {
      double start = step.after().stream().mapToDouble(ends::get).max().orElse(0);
      double end = start + durations.expectedMillis(job.spec().queue().name(), step);
      ends.add(end);
      longest = Math.max(longest, end);
    }
    return longest;
  }

  /** Returns the duration of the longest chain of steps that follow a step. */
  private static double chainAfterMillis(LiveStep step, Durations durations) {
    List<StepSpec> steps = step.job().spec().steps();
    String queue = step.job().spec().queue().name();
    double[] after = new double[steps.size()];
    for (int i = steps.size() - 1; i > step.id().step(); i--) {
      double own = after[i] + durations.expectedMillis(queue, steps.get(i));
      for (int before : steps.get(i).after()) {
        after[before] = Math.max(after[before], own);
      }
    }
    return after[step.id().step()];
  }

  /**
   * Returns the highest duration factor of an executor on which a step may run so that its job is
   * still expected to complete in time.
   */
  static double maxFactor(LiveStep step, Queue queue, Durations durations, long now) {
    JobSpec spec = step.job().spec();
    double millis =
        durations.expectedMillis(spec.queue().name(), step.spec()) * durations.spreadMargin();
    double elapsed = now - dueAt(step);
    double left =
        objectiveMillis(step.job(), queue, durations) - elapsed - chainAfterMillis(step, durations);
    return left / Math.max(1, millis);
  }

  /** Returns when the occurrence of a step was submitted or due, on the owner's clock. */
  private static long dueAt(LiveStep step) {
    JobSpec spec = step.job().spec();
    long wait =
        spec.repetitions() == 0
            ? 0
            : Math.max(0, spec.dueMillis(step.id().occurrence()) - spec.acceptedMillis());
    return step.job().submittedAt() + wait;
  }
}
