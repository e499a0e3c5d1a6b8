package io.cactusspring.core.placement;

/**
 * Why the resources of a task were released.
 *
 * @since 0.1
 */
public enum ReleaseReason {
  SUCCEEDED,
  FAILED,
  /** The worker refused or failed to start the task; the task did not run. */
  START_FAILED,
  CHECKPOINTED,
  STOPPED,
  /** The lease of the task expired without a renewal. */
  LAPSED
}
