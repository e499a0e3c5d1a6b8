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
   * The hosts that can make calls, and what they do.
   *
   * @param available hosts that can be asked to make a call, including the owner
   * @param known these hosts and those that are left out because a call of theirs failed
   * @param calls number of calls that are queued or in progress on all of them
   */
  record Usage(int available, int known, int calls) {
    static final Usage NONE = new Usage(0, 0, 0);

    @Override
    public String toString() {
      return "%d of %d hosts can be asked, %d calls in progress".formatted(available, known, calls);
    }
  }

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

  /** Returns which callers there are now, for the log. */
  default Usage usage() {
    return Usage.NONE;
  }
}
