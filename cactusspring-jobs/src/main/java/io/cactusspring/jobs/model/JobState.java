package io.cactusspring.jobs.model;

/**
 * State of a job as callers see it.
 *
 * @since 0.2
 */
public enum JobState {
  PENDING,
  RUNNING,
  COMPLETED,
  FAILED,
  CANCELLED;

  /** Returns whether no other state can follow. */
  public boolean isFinal() {
    return this == COMPLETED || this == FAILED || this == CANCELLED;
  }
}
