package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.model.StepSpec;

/** Expected durations of tasks. */
interface Durations {
  /**
   * Returns the expected duration of one task of a step on a normal executor, in milliseconds.
   *
   * @param queue name of the queue that the job was submitted to
   */
  double expectedMillis(String queue, StepSpec step);

  /** Returns the duration of tasks on an executor relative to a normal one; 1 if unknown. */
  double factor(LiveExecutor executor);

  /** Returns whether durations of tasks of a queue were observed. */
  default boolean hasObservations(String queue) {
    return false;
  }

  /**
   * Returns the factor by which the slowest task of a step may exceed the expected duration,
   * because the durations of its tasks vary.
   */
  default double spreadMargin() {
    return 1;
  }

  /** Returns whether executors are known to differ so much that placement considers it. */
  boolean unequal();
}
