package io.cactusspring.standins.load;

import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** The latencies of the good answers and the number of the others. Thread-safe. */
final class LatencyRecorder {
  private static final int SIGNIFICANT_DIGITS = 3;

  private final Histogram micros = new Histogram(SIGNIFICANT_DIGITS);
  private long failed;

  synchronized void record(long nanos, boolean succeeded) {
    if (succeeded) {
      micros.recordValue(TimeUnit.NANOSECONDS.toMicros(nanos));
    } else {
      failed++;
    }
  }

  synchronized LatencySummary summary() {
    return new LatencySummary(
        micros.getTotalCount(),
        failed,
        micros.getValueAtPercentile(50),
        micros.getValueAtPercentile(99),
        micros.getValueAtPercentile(99.9));
  }
}
