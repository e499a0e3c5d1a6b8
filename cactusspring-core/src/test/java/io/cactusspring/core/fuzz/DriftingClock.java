package io.cactusspring.core.fuzz;

/**
 * A monotonic clock that runs slightly fast or slow.
 *
 * @param offsetMillis reading at true time 0, in milliseconds
 * @param perMille rate error in thousandths; positive if the clock runs fast
 */
record DriftingClock(long offsetMillis, int perMille) {
  /** Returns the clock's reading at a true time. */
  long read(long trueMillis) {
    return offsetMillis + trueMillis + trueMillis * perMille / 1000;
  }

  /** Returns the true time that passes while the clock shows the given duration. */
  long trueDuration(long millis) {
    return millis * 1000 / (1000 + perMille);
  }
}
