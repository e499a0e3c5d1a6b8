package io.cactusspring.standins.executor;

/**
 * How many executors are served and of which size.
 *
 * @param name the name, or the prefix of the names when there are several
 * @param count the number of executors
 * @param slots the requests that each runs at once
 * @param connections the connections that each takes
 * @param serviceMillis the mean service time
 * @param seed the seed of the service times
 * @since 0.1
 */
public record ExecutorOptions(
    String name, int count, int slots, int connections, double serviceMillis, long seed) {
  /**
   * @throws IllegalArgumentException if a number is not positive
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

  /** Returns the name of one of the executors. */
  public String nameOf(int index) {
    return count == 1 ? name : name + "-" + index;
  }

  private static void checkPositive(String field, int value) {
    if (value < 1) {
      throw new IllegalArgumentException(field + " is " + value + "; expected 1 or more");
    }
  }
}
