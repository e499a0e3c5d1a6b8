package io.cactusspring.core.model;

/**
 * How soon work has to start; earlier constants go first.
 *
 * @since 0.1
 */
public enum Urgency {
  /** May preempt checkpointable work of teams above their share. */
  URGENT,
  NORMAL,
  /** Waits until nothing else fits. */
  BACKGROUND
}
