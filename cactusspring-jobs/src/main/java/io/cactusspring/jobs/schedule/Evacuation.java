package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.schedule.DecisionListener.Kind;
import java.util.List;

/**
 * Moves runs off executors that drain.
 *
 * <p>A run that is still active when its executor leaves is lost, and is known to be lost only once
 * the lease has lapsed. Stopping it in time makes its end certain and saves a checkpoint.
 * Long-running tasks move at once; other tasks keep running as long as the remaining time allows.
 */
final class Evacuation {
  /** Time for the stop to arrive and for the end to be reported, besides the stop itself. */
  private static final long STOP_MARGIN_MILLIS = 300;

  private final OwnerState state;
  private final RunLifecycle runs;

  Evacuation(OwnerState state, RunLifecycle runs) {
    this.state = state;
    this.runs = runs;
  }

  void moveRuns(long now) {
    state.draining.forEach(e -> moveRuns(e, now));
  }

  private void moveRuns(LiveExecutor executor, long now) {
    boolean leavesSoon =
        now >= executor.leavesAt() - state.settings.stopMillis() - STOP_MARGIN_MILLIS;
    List.copyOf(executor.runs()).stream()
        .filter(r -> r.phase() == Run.Phase.RUNNING && !r.stopping())
        .filter(r -> leavesSoon || r.spec().longRunning())
        .forEach(r -> runs.stop(executor, r, Kind.RUN_MOVED, "executor drains", now));
  }
}
