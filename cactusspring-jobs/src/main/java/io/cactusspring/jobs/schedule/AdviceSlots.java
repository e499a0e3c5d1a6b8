package io.cactusspring.jobs.schedule;

/**
 * Reserves callers of the advice service. Each entry host may have one call at a time.
 *
 * @since 0.2
 */
@FunctionalInterface
public interface AdviceSlots {
  /**
   * Reserves a caller for one call.
   *
   * @param callMillis expected duration of the call, in milliseconds
   * @return whether a caller was free
   */
  boolean reserve(double callMillis);
}
