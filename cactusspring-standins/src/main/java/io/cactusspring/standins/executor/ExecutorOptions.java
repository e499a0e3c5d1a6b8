package io.cactusspring.standins.executor;

/**
 * The number of executors and their capacity.
 *
 * @param name the name, or the name prefix if there are several executors
 * @param count the number of executors
 * @param slots the number of concurrent requests per executor
 * @param connections the maximum number of open connections per executor
 * @param serviceMillis the mean service time in milliseconds
 * @param seed the seed of the service times
 * @since 0.1
 */
public record ExecutorOptions(
    String name, int count, int slots, int connections, double serviceMillis, long seed) {
  /**
   * @throws IllegalArgumentException if {@code count}, {@code slots} or {@code connections} is not
   *     positive, or {@code serviceMillis} is negative
   */
  public ExecutorOptions {
    checkPositive("count", count);
    checkPositive("slots", slots);
    checkPositive("connections", connections);
    if (serviceMillis < 0) {
      throw new IllegalArgumentException(
          "serviceMillis is " + serviceMillis + "; expected 0 or more");
    }
  }

  /** Returns the name of the executor at the given index, counted from 0. */
  public String nameOf(int index) {
    return count == 1 ? name : name + "-" + index;
  }

  private static void checkPositive(String field, int value) {
    if (value < 1) {
      throw new IllegalArgumentException(field + " is " + value + "; expected 1 or more");
    }
  }
}
