package io.cactusspring.benchmarks.request;

/**
 * Executors and requests of one comparison.
 *
 * @param executors executors with 8 slots each
 * @param slowExecutors how many of them take four times as long
 * @param meanMillis mean service time of the others
 * @param load part of all slots that the requests ask for
 * @param failingPart part of the attempts that fail in the middle fifth of the run
 */
public record Scenario(
    String name,
    int executors,
    int slowExecutors,
    double meanMillis,
    double load,
    double failingPart) {
  static final int SLOTS = 8;
  static final int SLOW_FACTOR = 4;

  /** A third of the executors of a zone is slow. */
  public static Scenario uneven() {
    return new Scenario("uneven", 10, 3, 20, 0.7, 0);
  }

  /** Half of the attempts fail for a while, after they used their slot to the end. */
  public static Scenario failing() {
    return new Scenario("failing", 10, 0, 20, 0.8, 0.5);
  }

  /** Returns the requests a second that ask for the given part of all slots. */
  double requestsPerSecond() {
    double fast = (executors - slowExecutors) * SLOTS / meanMillis;
    double slow = slowExecutors * SLOTS / (meanMillis * SLOW_FACTOR);
    return load * (fast + slow) * 1_000;
  }
}
