package io.cactusspring.core.placement;

import io.cactusspring.core.model.Resources;

/**
 * Snapshot of a worker, its committed resources and its state.
 *
 * @param committed sum of the declared resources of its tasks
 * @param tasks number of tasks committed
 * @since 0.1
 */
public record WorkerView(
    String name, String rack, Resources total, Resources committed, int tasks, State state) {
  /** Whether a worker receives new tasks. */
  public enum State {
    READY,
    /** Reached the failure limit; receives one probe task at a time, at growing intervals. */
    QUARANTINED,
    LEAVING,
    UNREACHABLE
  }
}
