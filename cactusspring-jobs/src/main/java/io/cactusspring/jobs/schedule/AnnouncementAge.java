package io.cactusspring.jobs.schedule;

/**
 * Bounds starts by the age of the executors' announcements, which show their capacities.
 *
 * <p>The store may answer appends while the reads of the announcements get no answer. A start that
 * relies on old announcements could bring an executor over a capacity that has shrunk since.
 */
final class AnnouncementAge {
  /**
   * Time after its announcement is due from which a capacity that has shrunk counts for starts, in
   * milliseconds.
   */
  private static final long EFFECT_MILLIS = 3_000;

  /**
   * Age of the last complete read above which no start is sent. One lost answer to a read delays
   * the next one by up to 2.2 s; the rest is for the start to arrive.
   */
  static final long MAX_MILLIS = 2_500;

  // The scheduler may be used without announcements that are read from a store.
  private static final long ALWAYS = Long.MAX_VALUE / 2;

  private long confirmedAt = ALWAYS;

  /** Records when the last read was sent that returned all announcements stored until then. */
  void confirmed(long when) {
    confirmedAt = when;
  }

  /** Returns for how many milliseconds the announcements have not been confirmed. */
  long millis(long now) {
    return Math.max(0, now - confirmedAt);
  }

  boolean allowsStarts(long now) {
    return millis(now) <= MAX_MILLIS;
  }

  /**
   * Returns the longest lease that a start may carry. An executor refuses a start after the lease,
   * so that a start which the network delays is not carried out when an unread announcement counts.
   */
  long startLeaseMillis(long leaseMillis, long now) {
    // The lease ends on the clock of the executor, which may be slow.
    double left = (confirmedAt + EFFECT_MILLIS - now) * SchedulerSettings.MIN_CLOCK_RATE;
    return Math.min(leaseMillis, (long) left);
  }
}
