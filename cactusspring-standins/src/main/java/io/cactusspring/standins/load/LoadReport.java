package io.cactusspring.standins.load;

import java.util.Locale;

/**
 * The latencies of both paths in one run.
 *
 * @since 0.1
 */
public record LoadReport(LatencySummary direct, LatencySummary entry) {
  private static final double MICROS_PER_MILLI = 1_000;

  /** Returns a text table with one row per path and a row with the difference of the latencies. */
  public String table() {
    return String.join(
        System.lineSeparator(),
        String.format(
            Locale.ROOT,
            "%-8s %9s %7s %9s %9s %9s",
            "way",
            "answered",
            "failed",
            "p50 ms",
            "p99 ms",
            "p99.9 ms"),
        row("direct", direct),
        row("entry", entry),
        String.format(
            Locale.ROOT,
            "%-8s %9s %7s %9.3f %9.3f %9.3f",
            "added",
            "",
            "",
            millis(entry.p50Micros() - direct.p50Micros()),
            millis(entry.p99Micros() - direct.p99Micros()),
            millis(entry.p999Micros() - direct.p999Micros())));
  }

  private static String row(String path, LatencySummary summary) {
    return String.format(
        Locale.ROOT,
        "%-8s %9d %7d %9.3f %9.3f %9.3f",
        path,
        summary.answered(),
        summary.failed(),
        millis(summary.p50Micros()),
        millis(summary.p99Micros()),
        millis(summary.p999Micros()));
  }

  private static double millis(long micros) {
    return micros / MICROS_PER_MILLI;
  }
}
