package io.cactusspring.jobs.control;

/** How long the store took to answer lately, to tell a lost answer from a slow one. */
final class ResponseTimes {
  private static final double NEWEST_SAMPLE_WEIGHT = 0.3;
  // Answers of a sound store hardly ever spread wider than this factor.
  private static final int OVERDUE_FACTOR = 5;
  // A pause of either process must not pass for a lost answer.
  private static final long MIN_OVERDUE_MILLIS = 250;

  private double averageMillis;

  /** Takes note of an answer. */
  void add(long millis) {
    averageMillis += NEWEST_SAMPLE_WEIGHT * (millis - averageMillis);
  }

  /** Returns how long answers took, the newest ones counting most. */
  long averageMillis() {
    return Math.round(averageMillis);
  }

  /** Returns after how long an answer that has not come is probably lost. */
  long overdueMillis() {
    return Math.max(MIN_OVERDUE_MILLIS, Math.round(OVERDUE_FACTOR * averageMillis));
  }
}
