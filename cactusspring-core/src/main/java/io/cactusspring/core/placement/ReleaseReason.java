package io.cactusspring.core.placement;

/**
 * Why a task's resources are free again.
 *
 * @since 0.1
 */
public enum ReleaseReason {
  SUCCEEDED,
  FAILED,
  /** The worker refused or failed to start the task; it did not run. */
  START_FAILED,
  CHECKPOINTED,
  STOPPED,
  /** The lease ended without renewal. */
  LAPSED
}
