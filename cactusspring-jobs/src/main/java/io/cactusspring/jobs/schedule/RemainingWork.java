package io.cactusspring.jobs.schedule;

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
  /** Returns the remaining work of the occurrences of a job that are due. */
  static RemainingWork of(LiveJob job, Durations durations) {
    String queue = job.spec().queue().name();
    double longest = 0;
    double processors = 0;
    List<Double> ends = new ArrayList<>();
    for (LiveStep step : job.steps()) {
      if (step.id().step() == 0) {
        // The steps of an occurrence follow each other; occurrences do not depend on each other.
        ends.clear();
      }
      double start = step.spec().after().stream().mapToDouble(ends::get).max().orElse(0);
      double duration = step.isDone() ? 0 : durations.expectedMillis(queue, step.spec());
      ends.add(start + duration);
      longest = Math.max(longest, start + duration);
      processors += unfinished(step) * duration * processorsOf(step.spec());
    }
    return new RemainingWork(longest, processors);
  }

  private static long unfinished(LiveStep step) {
    return step.tasks().stream().filter(t -> !t.isDone()).count();
  }

  private static double processorsOf(StepSpec step) {
    return step.committed().milliProcessors() / 1_000.0;
  }
}
