package io.cactusspring.core.model;

/**
 * Start priority of work; constants declared earlier are scheduled first.
 *
 * @since 0.1
 */
public enum Urgency {
  /** May preempt checkpointable work of teams above their share. */
  URGENT,
  NORMAL,
  /** Starts only when no other waiting work fits. */
  BACKGROUND
}
