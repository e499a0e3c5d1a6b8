package io.cactusspring.jobs.control;

/**
 * Moving average of the response time of the store, used to distinguish a lost response from a slow
 * one.
 */
final class ResponseTimes {
  private static final double NEWEST_SAMPLE_WEIGHT = 0.3;
  // Response times of a healthy store rarely exceed their average by more than this factor.
  private static final int OVERDUE_FACTOR = 5;
  // A pause of this process or of the store must not be mistaken for a lost response.
  private static final long MIN_OVERDUE_MILLIS = 250;

  private double averageMillis;

  /** Adds the response time of a call, in milliseconds. */
  void add(long millis) {
    averageMillis += NEWEST_SAMPLE_WEIGHT * (millis - averageMillis);
  }

  /** Returns the exponentially weighted average of the response times, in milliseconds. */
  long averageMillis() {
    return Math.round(averageMillis);
  }

  /** Returns the time after which an outstanding response is considered lost, in milliseconds. */
  long overdueMillis() {
    return Math.max(MIN_OVERDUE_MILLIS, Math.round(OVERDUE_FACTOR * averageMillis));
  }
}
