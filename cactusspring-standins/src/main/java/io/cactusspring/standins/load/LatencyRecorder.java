package io.cactusspring.standins.load;

import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** Records the latencies of successful requests and counts the failed ones. Thread-safe. */
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
