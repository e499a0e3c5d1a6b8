package io.cactusspring.core.placement;

import io.cactusspring.core.model.Arguments;
import io.cactusspring.core.model.RunId;
import io.cactusspring.core.model.TaskId;
import io.cactusspring.core.model.TaskSpec;

/**
 * A run that waits for a worker.
 *
 * @param attempt number of the attempt that will start, from 1
 * @param service whether the run is a replica of a service
 * @param gangSize number of runs of the same workload that start together; 1 for any other run
 * @since 0.1
 */
public record PendingRun(
    RunId run, int attempt, String team, TaskSpec spec, boolean service, int gangSize) {
  /**
   * @throws IllegalArgumentException if a field is missing or out of range
   */
  public PendingRun {
    Arguments.checkPresent("run", run);
    Arguments.checkRange("attempt", attempt, 1, Integer.MAX_VALUE);
    Arguments.checkName("team", team);
    Arguments.checkPresent("spec", spec);
    Arguments.checkRange("gangSize", gangSize, 1, Integer.MAX_VALUE);
  }

  /** Returns the id of the task that placing this run starts. */
  public TaskId task() {
    return new TaskId(run, attempt);
  }

  boolean inGang() {
    return gangSize > 1;
  }
}
