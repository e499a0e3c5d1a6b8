package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.model.Queue;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.Map;

/**
 * Which of several executors a step should use, by their speeds: the slowest ones on which its job
 * is expected to complete in time, otherwise the fastest. Work with slack thus leaves the fast ones
 * to work without.
 */
final class SpeedPreference {
  /** Executors whose factors differ by less than about this, as a logarithm, count as equal. */
  private static final double STEP = 0.1;

  private SpeedPreference() {}

  /** Returns an order with the preferred executors first; all are equal if speeds are unknown. */
  static Comparator<LiveExecutor> of(LiveStep step, Queue queue, Durations durations, long now) {
    boolean serves = step.spec().longRunning() && step.spec().targetMillis() > 0;
    if (!durations.unequal() || step.spec().fills() || serves) {
      // How long requests or filling tasks take on an executor is not learned.
      return (a, b) -> 0;
    }
    // A long-running task occupies a fast executor for as long as a slow one.
    double max =
        step.spec().longRunning()
            ? Double.POSITIVE_INFINITY
            : ExpectedCompletion.maxFactor(step, queue, durations, now);
    // A search compares each executor many times.
    Map<LiveExecutor, Integer> ranks = new IdentityHashMap<>();
    return Comparator.comparing(e -> ranks.computeIfAbsent(e, k -> rank(durations.factor(k), max)));
  }

  private static int rank(double factor, double max) {
    int level = level(factor);
    // Levels are small numbers: executors in time, slowest first, precede those that are late.
    return factor <= max ? Integer.MIN_VALUE / 2 - level : level;
  }

  private static int level(double factor) {
    return (int) Math.round(Math.log(factor) / STEP);
  }
}
