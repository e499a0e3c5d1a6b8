package io.cactusspring.core.request;

/** Exponentially weighted moving average of durations. */
final class LatencyAverage {
  private static final double SAMPLE_WEIGHT = 0.1;

  private double nanos = -1;

  void add(long sampleNanos) {
    nanos = nanos < 0 ? sampleNanos : nanos + SAMPLE_WEIGHT * (sampleNanos - nanos);
  }

  /** Returns the average in nanoseconds; 0 before the first sample. */
  long nanos() {
    return nanos < 0 ? 0 : (long) nanos;
  }
}
