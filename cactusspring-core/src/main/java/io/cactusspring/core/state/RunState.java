package io.cactusspring.core.state;

/**
 * State of a run.
 *
 * @since 0.1
 */
public enum RunState {
  /** No attempt is in progress; the run may start. */
  PENDING,
  /** The start of an attempt is recorded, and its end is not. */
  STARTED,
  /** The run has ended; only a replica of a service may become pending again. */
  ENDED
}
