package io.cactusspring.standins.executor;

import java.util.random.RandomGenerator;

/** Samples service times from a capped exponential distribution. Not thread-safe. */
final class ServiceTimes {
  private static final int MAX_MULTIPLE_OF_MEAN = 10;

  private final RandomGenerator random;

  ServiceTimes(RandomGenerator random) {
    this.random = random;
  }

  /** Returns the next service time, rounded to whole milliseconds. */
  long nextMillis(double meanMillis) {
    double sample = random.nextExponential() * meanMillis;
    return Math.round(Math.min(sample, meanMillis * MAX_MULTIPLE_OF_MEAN));
  }
}
