package io.cactusspring.core.placement;

import io.cactusspring.core.model.Resources;

/**
 * The conditions under which work may start; tests replace one to show that its loss is noticed.
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

  /** Whether a run may be queued that has a committed task or not. */
  boolean mayQueue(boolean runsAlready) {
    return !runsAlready;
  }

  boolean takesWork(WorkerState worker) {
    return worker.takesWork() && worker.health().takesWork();
  }
}
