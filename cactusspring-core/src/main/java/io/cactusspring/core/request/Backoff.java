package io.cactusspring.core.request;

import java.util.random.RandomGenerator;

/** Exponential backoff between attempts, with full jitter. */
final class Backoff {
  private static final int MAX_DOUBLINGS = 20;

  private Backoff() {}

  /** Returns a random delay between 0 and {@link #boundNanos}, inclusive. */
  static long jitteredNanos(long baseNanos, long maxNanos, int attempt, RandomGenerator random) {
    return random.nextLong(boundNanos(baseNanos, maxNanos, attempt) + 1);
  }

  /** Returns the base delay, doubled for each attempt after the first, up to the maximum. */
  static long boundNanos(long baseNanos, long maxNanos, int attempt) {
    int doublings = Math.max(0, Math.min(attempt - 1, MAX_DOUBLINGS));
    return Math.min(maxNanos, baseNanos << doublings);
  }
}
