package io.cactusspring.core.placement;

import io.cactusspring.core.model.Resources;

/**
 * A worker as placement sees it.
 *
 * @param committed sum of the declared resources of its tasks
 * @param tasks number of tasks committed
 * @since 0.1
 */
public record WorkerView(
    String name, String rack, Resources total, Resources committed, int tasks, State state) {
  /** Whether a worker receives new work. */
  public enum State {
    READY,
    /** Failed everything it started; receives a probe from time to time. */
    QUARANTINED,
    LEAVING,
    UNREACHABLE
  }
}
