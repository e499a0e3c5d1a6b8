package io.cactusspring.benchmarks.request;

/**
 * Executors and request load of one simulation.
 *
 * @param executors number of executors, each with 8 slots
 * @param slowExecutors number of executors with four times the service time
 * @param meanMillis mean service time of the other executors, in milliseconds
 * @param load fraction of the capacity of all slots that the requests demand
 * @param failingPart fraction of the attempts that fail in the middle fifth of the run
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

  /** Three of the ten executors of a zone are slow. */
  public static Scenario uneven() {
    return new Scenario("uneven", 10, 3, 20, 0.7, 0);
  }

  /**
   * Half of the attempts fail during the middle fifth, each after its full service time or its
   * timeout.
   */
  public static Scenario failing() {
    return new Scenario("failing", 10, 0, 20, 0.8, 0.5);
  }

  /** Returns the requests per second that produce the given load. */
  double requestsPerSecond() {
    double fast = (executors - slowExecutors) * SLOTS / meanMillis;
    double slow = slowExecutors * SLOTS / (meanMillis * SLOW_FACTOR);
    return load * (fast + slow) * 1_000;
  }
}
