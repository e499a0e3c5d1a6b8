package io.cactusspring.core.shard;

/**
 * How a task ended, as its worker reports it.
 *
 * @since 0.1
 */
public enum TaskResult {
  SUCCEEDED,
  FAILED,
  STOPPED,
  /** Stopped with its progress kept for the run's next attempt. */
  CHECKPOINTED,
  /** Stopped because its lease was not renewed. */
  LAPSED
}
