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

  // Above the error of clocks that are read in whole milliseconds.
  private static final long READING_ERROR_MILLIS = 100;

  private final SchedulerSettings settings;
  private long clockMillis;
  private long clockAt = NEVER;
  private long grantedAt = NEVER;

  /** When leases have lapsed that this owner has granted to the present boot. */
  private long lapsesAt = NEVER;

  /**
   * When a lease has lapsed that the present boot may have taken from a call for an earlier one.
   */
  private long foreignLapsesAt = NEVER;

  /** When a call that named the end of a lease was last given up. */
  private long unansweredAt = NEVER;

  /** When a lease has lapsed that the present boot may take from such a call for an earlier one. */
  private long lateLapsesAt = NEVER;

  /** When leases have lapsed that earlier owners have granted. */
  private long inheritedLapsesAt = NEVER;

  /** When a lease has lapsed that is longer than those, as the last owner has recorded. */
  private long inheritedLongLapsesAt = NEVER;

  /** Whether earlier owners may have granted their leases to an earlier boot. */
  private boolean inheritedByEarlierBoot;

  /** Creates a lease that was never granted. */
  ExecutorLease(SchedulerSettings settings) {
    this.settings = settings;
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
   * Grants a lease that starts now. The executor's clock may be slow, so that its reading now is
   * the less certain the older the last answer is; the lease begins at the earliest one, but loses
   * no more than half of its length by that.
   *
   * @return the end of the lease in milliseconds on the executor's clock; 0 if that clock is
   *     unknown
   */
  long grant(long millis, long now) {
    if (!hasClock()) {
      return 0;
    }
    grantedAt = now;
    long elapsed = now - clockAt;
    long uncertain = elapsed - (long) (elapsed * SchedulerSettings.MIN_CLOCK_RATE);
    long end = clockMillis + elapsed + millis - Math.min(uncertain, millis / 2);
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
    if (end <= 0) {
      return;
    }
    long lapse = now + slowest(Math.min(end - clock, settings.maxLeaseMillis()));
    lapsesAt = Math.max(lapsesAt, lapse);
    if (end - clock > settings.leaseMillis() + READING_ERROR_MILLIS) {
      // The end is a time on the clock of another boot, or the clock was not read for minutes.
      foreignLapsesAt = Math.max(foreignLapsesAt, lapse);
    }
  }

  /** Records that the present boot may have taken a call that was meant for an earlier one. */
  void mayHaveTakenForeign(long now) {
    foreignLapsesAt = Math.max(foreignLapsesAt, now + slowest(settings.maxLeaseMillis()));
  }

  /**
   * Records that a call that named the end of a lease got no answer.
   *
   * @param foreign whether it was meant for an earlier boot
   */
  void unanswered(boolean foreign, long now) {
    unansweredAt = now;
    if (foreign) {
      mayHaveTakenForeign(now);
      mayTakeUnansweredLate(now);
    }
  }

  /** The present boot may still take a call of an earlier one that got no answer. */
  private void mayTakeUnansweredLate(long now) {
    if (now - unansweredAt < Run.MAX_START_DELAY_MILLIS) {
      long taken = unansweredAt + Run.MAX_START_DELAY_MILLIS;
      lateLapsesAt = Math.max(lateLapsesAt, taken + slowest(settings.maxLeaseMillis()));
    }
  }

  /** Returns the time in which an executor's clock advances by some milliseconds at the latest. */
  private static long slowest(long millis) {
    return (long) Math.ceil(millis / SchedulerSettings.MIN_CLOCK_RATE);
  }

  /**
   * Records a later boot, whose clock is unknown. It may have taken any call until now.
   *
   * @param known whether the last owner knew the boot, and has recorded what it may have taken
   */
  void rebooted(boolean known, long now) {
    clockAt = NEVER;
    inheritedByEarlierBoot |= !known;
    if (grantedAt != NEVER) {
      mayHaveTakenForeign(now);
      mayTakeUnansweredLate(now);
    }
  }

  /** Sets when the last lease has lapsed that earlier owners may have granted to this boot. */
  void inherit(long lapse) {
    inheritedLapsesAt = lapse;
  }

  /** Records that the leases of earlier owners, if there may be any, have lapsed by then. */
  void inheritedShortened(long lapse) {
    inheritedLapsesAt = Math.min(inheritedLapsesAt, lapse);
  }

  /** Sets when a lease has lapsed that the boot may have taken from calls for an earlier one. */
  void inheritLong(long lapse) {
    inheritedLongLapsesAt = lapse;
  }

  /** Returns when the last lease that is known of has lapsed. */
  long lapsesAt() {
    return Math.max(Math.max(lapsesAt, inheritedLapsesAt()), longLapsesAt());
  }

  /** Returns when a lease has lapsed that a call may have extended which was carried out late. */
  long lateLapsesAt() {
    return lateLapsesAt;
  }

  /** Returns when a lease has lapsed that may be longer than those that owners grant. */
  long longLapsesAt() {
    long inherited = inheritedByEarlierBoot ? inheritedLapsesAt() : NEVER;
    return Math.max(Math.max(foreignLapsesAt, inheritedLongLapsesAt), inherited);
  }

  /** Counts the longest lease from a grant on, where the owner expected one of its own length. */
  private long inheritedLapsesAt() {
    return inheritedByEarlierBoot && inheritedLapsesAt != NEVER
        ? inheritedLapsesAt + slowest(settings.maxLeaseMillis() - settings.leaseMillis())
        : inheritedLapsesAt;
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
