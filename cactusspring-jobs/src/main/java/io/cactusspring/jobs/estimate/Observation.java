package io.cactusspring.jobs.estimate;

import io.cactusspring.jobs.model.StepId;
import java.util.Set;

/**
 * A run that was completed without interruption.
 *
 * @param queue name of the queue that the job was submitted to
 * @param estimateMillis the estimate that the caller declared; 0 for none
 * @param executor id of the executor
 * @param bootMillis the boot of the executor
 * @param labels the labels of the executor
 * @param millis time from the confirmed start to the reported end
 */
public record Observation(
    String queue,
    StepId step,
    long estimateMillis,
    String executor,
    long bootMillis,
    Set<String> labels,
    long millis) {
  /** Returns the natural logarithm of the duration in milliseconds. */
  double logMillis() {
    return Math.log(Math.max(1, millis));
  }
}
