package io.cactusspring.core.state;

/**
 * Where a run stands.
 *
 * @since 0.1
 */
public enum RunState {
  /** No attempt is under way; may start. */
  PENDING,
  /** An attempt is recorded and its end is not. */
  STARTED,
  /** Never starts again. */
  ENDED
}
