package io.cactusspring.benchmarks;

import org.HdrHistogram.Histogram;

/** Counters and waiting times of one simulation. */
final class RequestFigures {
  private static final long HIGHEST_NANOS = 600_000_000_000L;
  private static final int DIGITS = 3;

  private final Histogram waiting = new Histogram(HIGHEST_NANOS, DIGITS);
  private long offered;
  private long answered;
  private long refusedNotRun;
  private long refusedUnknown;
  private long executions;

  void countOffered() {
    offered++;
  }

  void countAnswered(long waitedNanos) {
    answered++;
    waiting.recordValue(waitedNanos);
  }

  void countRefused(boolean notRun) {
    refusedNotRun += notRun ? 1 : 0;
    refusedUnknown += notRun ? 0 : 1;
  }

  void countExecution() {
    executions++;
  }

  /** Time from arrival to the start of the execution that was answered, in nanoseconds. */
  Histogram waiting() {
    return waiting;
  }

  long offered() {
    return offered;
  }

  long answered() {
    return answered;
  }

  long refusedNotRun() {
    return refusedNotRun;
  }

  long refusedUnknown() {
    return refusedUnknown;
  }

  long executions() {
    return executions;
  }
}
