package io.cactusspring.jobs.schedule;

/**
 * The clock of an executor, and until when the executor may run tasks.
 *
 * <p>The end of a lease is a time on the executor's clock, which begins anew with each boot. A call
 * that was meant for one boot may be taken by a later one with the same id: the end that it names
 * is then far ahead, and the executor shortens it to the longest lease that it accepts. The owner
 * therefore expects a lease of that length wherever a later boot may have taken such a call.
 */
final class ExecutorLease {
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final long longestMillis;
  private long clockMillis;
  private long clockAt = NEVER;
  private long grantedAt = NEVER;
  private long lapsesAt = NEVER;
  private long inheritedLapsesAt = NEVER;

  /**
   * Creates a lease that was never granted.
   *
   * @param longestMillis longest lease that an executor accepts, by its own clock
   */
  ExecutorLease(long longestMillis) {
    this.longestMillis = longestMillis;
  }

  boolean hasClock() {
    return clockAt != NEVER;
  }

  /** Returns when the present boot last answered. */
  long answeredAt() {
    return clockAt;
  }

  /** Records the clock of the present boot, as it was when the boot answered. */
  void clock(long millis, long now) {
    clockMillis = millis;
    clockAt = now;
  }

  /**
   * Grants a lease that starts now.
   *
   * @return the end of the lease in milliseconds on the executor's clock; 0 if that clock is
   *     unknown
   */
  long grant(long millis, long now) {
    if (!hasClock()) {
      return 0;
    }
    grantedAt = now;
    long end = clockMillis + (now - clockAt) + millis;
    double lapse = clockAt + (end - clockMillis) / SchedulerSettings.MIN_CLOCK_RATE;
    lapsesAt = Math.max(lapsesAt, (long) Math.ceil(lapse));
    return end;
  }

  /**
   * Records that the executor has taken the end of a lease that a call named.
   *
   * @param clock the executor's clock when it answered the call
   */
  void taken(long end, long clock, long now) {
    if (end > 0) {
      extend(Math.min(end - clock, longestMillis), now);
    }
  }

  /** Records that the present boot may have taken a call that was meant for an earlier one. */
  void mayHaveTakenForeign(long now) {
    extend(longestMillis, now);
  }

  private void extend(long millis, long now) {
    long lapse = now + (long) Math.ceil(millis / SchedulerSettings.MIN_CLOCK_RATE);
    lapsesAt = Math.max(lapsesAt, lapse);
  }

  /** Records a later boot, whose clock is unknown. It may have taken any call until now. */
  void rebooted(long now) {
    clockAt = NEVER;
    if (grantedAt != NEVER) {
      mayHaveTakenForeign(now);
    }
  }

  /** Sets when the last lease has lapsed that earlier owners may have granted. */
  void inherit(long lapse) {
    inheritedLapsesAt = lapse;
  }

  /** Records that the leases of earlier owners, if there may be any, have lapsed by then. */
  void inheritedShortened(long lapse) {
    inheritedLapsesAt = Math.min(inheritedLapsesAt, lapse);
  }

  /** Returns when the last lease that is known of has lapsed. */
  long lapsesAt() {
    return Math.max(lapsesAt, inheritedLapsesAt);
  }

  /** Describes the lease for the log. */
  String describe(long now) {
    String granted =
        grantedAt == NEVER ? "none granted" : "last granted " + (now - grantedAt) + " ms ago";
    return lapsesAt() == NEVER
        ? "lease " + granted
        : "lease " + granted + ", lapses in " + (lapsesAt() - now) + " ms";
  }
}
