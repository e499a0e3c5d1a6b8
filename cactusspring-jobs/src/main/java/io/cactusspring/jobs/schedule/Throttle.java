package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.schedule.DecisionListener.Kind;
import java.util.List;

/** Throttles filling tasks while a task on the same executor is near its latency target. */
final class Throttle {
  private static final double NEAR_TARGET_RATIO = 0.9;
  private static final double FAR_FROM_TARGET_RATIO = 0.6;
  private static final int FULL_PACE = 100;
  private static final int PACE_STEP_UP = 20;
  // The latency that an executor reports covers the last 500 ms.
  private static final long SETTLE_MILLIS = 700;

  private final OwnerState state;

  Throttle(OwnerState state) {
    this.state = state;
  }

  /** Adjusts the pace of the filling tasks on an executor to its latest report. */
  void adjust(LiveExecutor executor, long now) {
    List<Run> serving =
        executor.runs().stream().filter(r -> r.serves() && r.phase() == Run.Phase.RUNNING).toList();
    List<Run> filling =
        executor.runs().stream()
            .filter(r -> r.spec().fills() && r.phase() == Run.Phase.RUNNING && !r.stopping())
            .toList();
    if (filling.isEmpty()) {
      return;
    }
    double latencyRatio =
        serving.stream()
            .mapToDouble(r -> r.usage() / (double) r.spec().targetMillis())
            .max()
            .orElse(0);
    filling.stream()
        .filter(r -> now - r.paceAt() >= SETTLE_MILLIS)
        .forEach(r -> adjust(executor, r, latencyRatio, now));
  }

  private void adjust(LiveExecutor executor, Run run, double latencyRatio, long now) {
    int pace = run.pace();
    if (latencyRatio > 1) {
      pace = 0;
    } else if (latencyRatio > NEAR_TARGET_RATIO) {
      pace = pace / 2;
    } else if (latencyRatio < FAR_FROM_TARGET_RATIO) {
      pace = Math.min(FULL_PACE, pace + PACE_STEP_UP);
    }
    if (pace != run.pace() || run.isPaceUncertain()) {
      run.paced(pace, now);
      state.actions.add(new Action.Pace(executor.id(), executor.target(), run.key(), pace));
      state.decisionListener.decisionMade(
          Kind.PACED,
          run.key().task().job(),
          run.key().toString(),
          "pace set to "
              + pace
              + "% at "
              + latencyRatio
              + " of the latency target on "
              + executor.id());
    }
  }
}
