package io.cactusspring.jobs.schedule;

/**
 * The average of a quantity over the recent time, in which older values count exponentially less.
 * Each update costs constant time.
 */
final class RecentAverage {
  private final double timeConstantMillis;
  private double level;
  private double average;
  private long updatedAt = Long.MIN_VALUE;

  RecentAverage(double timeConstantMillis) {
    this.timeConstantMillis = timeConstantMillis;
  }

  /** Changes the level that lasts until the next change. */
  void changeLevel(double difference, long now) {
    advance(now);
    level += difference;
  }

  /**
   * Adds an amount that occurred at once; the average is then an amount per millisecond. The time
   * may be before that of the last update.
   */
  void add(double amount, long at) {
    advance(at);
    double age = (double) updatedAt - at;
    average += amount / timeConstantMillis * Math.exp(-age / timeConstantMillis);
  }

  /** Returns the average, which is 0 before the first update. */
  double value(long now) {
    advance(now);
    return average;
  }

  private void advance(long now) {
    if (now > updatedAt) {
      double elapsed = (double) now - updatedAt;
      average = level + (average - level) * Math.exp(-elapsed / timeConstantMillis);
      updatedAt = now;
    }
  }
}
