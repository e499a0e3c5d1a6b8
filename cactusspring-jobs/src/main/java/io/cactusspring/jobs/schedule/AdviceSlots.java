package io.cactusspring.jobs.schedule;

/**
 * Reserves callers of the advice service. Each entry host may have one call at a time.
 *
 * @since 0.2
 */
@FunctionalInterface
public interface AdviceSlots {
  /**
   * Longest duration of a short call, in milliseconds: several short calls fit into the duration of
   * a quick task.
   */
  double SHORT_CALL_MILLIS = 150;

  /**
   * Reserves a caller for one call.
   *
   * @param callMillis expected duration of the call, in milliseconds
   * @return whether a caller was free
   */
  boolean reserve(double callMillis);

  /**
   * Returns whether a call is short; others are made by fewer callers, which are idle before.
   *
   * @param callMillis expected duration of the call, in milliseconds
   */
  static boolean isShort(double callMillis) {
    return callMillis <= SHORT_CALL_MILLIS;
  }
}
