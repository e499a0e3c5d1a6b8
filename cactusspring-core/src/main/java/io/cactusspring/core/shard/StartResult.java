package io.cactusspring.core.shard;

/**
 * Result of a call that starts a task.
 *
 * @since 0.1
 */
public enum StartResult {
  STARTED,
  /** The worker reported that the task did not start. */
  NOT_RUN,
  /** No response within the call's timeout. */
  UNKNOWN,
  /** The worker has seen a higher epoch. */
  FENCED
}
