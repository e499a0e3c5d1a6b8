package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.model.StepSpec;

/** The estimates that callers declare, which hold for every executor. */
final class DeclaredDurations implements Durations {
  @Override
  public double expectedMillis(String queue, StepSpec step) {
    return step.estimateMillis();
  }

  @Override
  public double factor(LiveExecutor executor) {
    return 1;
  }

  @Override
  public boolean unequal() {
    return false;
  }
}
