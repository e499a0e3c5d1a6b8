package io.cactusspring.core.placement;

import io.cactusspring.core.model.Resources;

/**
 * Conditions under which a run may start. Tests override one at a time to verify that a violation
 * is detected.
 */
class PlacementRules {
  boolean fits(Resources need, Resources room) {
    return need.fitsIn(room);
  }

  boolean withinBudget(int running, int starting, int budget) {
    return running + starting <= budget;
  }

  boolean gangIsComplete(int found, int gangSize) {
    return found == gangSize;
  }

  /** Whether a run may be queued, given whether it has a committed task. */
  boolean mayQueue(boolean runsAlready) {
    return !runsAlready;
  }

  boolean takesWork(WorkerState worker) {
    return worker.takesWork() && worker.health().takesWork();
  }
}
