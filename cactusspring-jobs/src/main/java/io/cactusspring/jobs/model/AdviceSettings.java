package io.cactusspring.jobs.model;

/**
 * What a call for placement advice costs, and how long its tickets are valid.
 *
 * @param baseMillis time that a call takes however few executors it names
 * @param perExecutorMillis time that each named executor adds
 * @param validityMillis how long a ticket can be used
 * @since 0.2
 */
public record AdviceSettings(double baseMillis, double perExecutorMillis, long validityMillis) {
  /** Returns how long a call that names so many executors takes. */
  public double callMillis(int executors) {
    return baseMillis + perExecutorMillis * executors;
  }
}
