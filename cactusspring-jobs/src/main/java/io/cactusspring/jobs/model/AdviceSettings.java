package io.cactusspring.jobs.model;

/**
 * Cost of a call to the advice service, and how long the tickets that it issues are valid.
 *
 * @param baseMillis duration of a call before the share of the named executors, in milliseconds
 * @param perExecutorMillis duration that each named executor adds, in milliseconds
 * @param validityMillis time for which a ticket is valid, in milliseconds
 * @since 0.2
 */
public record AdviceSettings(double baseMillis, double perExecutorMillis, long validityMillis) {
  /** Returns the duration in milliseconds of a call that names the given number of executors. */
  public double callMillis(int executors) {
    return baseMillis + perExecutorMillis * executors;
  }
}
