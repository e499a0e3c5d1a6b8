package io.cactusspring.jobs.control;

import io.cactusspring.jobs.port.Timers;

/**
 * Measures how long ago something happened, or says that it cannot tell.
 *
 * <p>The monotonic clock does not count the time in which the machine is suspended. The wall clock
 * does, but it can be set meanwhile. When the difference between the two changes, the time that has
 * passed since an earlier moment is therefore unknown.
 */
final class AgeClock {
  /** Age of a moment after which a clock was set or the machine was suspended. */
  static final long UNKNOWN = Long.MAX_VALUE;

  /** Covers the drift of the clocks between two readings. */
  private static final long TOLERANCE_MILLIS = 50;

  /** Readings of the clocks that are further apart are not compared. */
  private static final long MAX_READING_MILLIS = 2;

  /**
   * A moment.
   *
   * @param discontinuities how often the difference between the clocks had changed by then
   */
  record Mark(long steadyMillis, long wallMillis, int discontinuities) {
    /** Returns a moment some milliseconds before this one. */
    Mark earlierBy(long millis) {
      return new Mark(steadyMillis - millis, wallMillis - millis, discontinuities);
    }
  }

  private final Timers timers;
  private long offsetMillis;
  private int discontinuities;

  AgeClock(Timers timers) {
    this.timers = timers;
    offsetMillis = timers.wallMillis() - timers.nowMillis();
  }

  /** Returns the present moment. */
  Mark mark() {
    compareClocks();
    return new Mark(timers.nowMillis(), timers.wallMillis(), discontinuities);
  }

  /** Returns the milliseconds since a moment; {@link #UNKNOWN} if the clocks do not tell. */
  long millisSince(Mark mark) {
    compareClocks();
    return mark.discontinuities == discontinuities
        ? Math.max(timers.nowMillis() - mark.steadyMillis, timers.wallMillis() - mark.wallMillis)
        : UNKNOWN;
  }

  private void compareClocks() {
    long before = timers.nowMillis();
    long offset = timers.wallMillis() - before;
    if (timers.nowMillis() - before > MAX_READING_MILLIS) {
      return;
    }
    if (Math.abs(offset - offsetMillis) > TOLERANCE_MILLIS) {
      discontinuities++;
    }
    offsetMillis = offset;
  }
}
