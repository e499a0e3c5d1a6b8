package io.cactusspring.jobs.schedule;

import java.util.IdentityHashMap;
import java.util.Map;

/**
 * How often runs have failed lately on each executor. Failures are evidence about an executor only
 * if runs on other executors of its service fail less often.
 */
final class FailureRates {
  private static final double TIME_CONSTANT_MILLIS = 10_000;

  /** Failure rate that is normal, and the number of runs after which what was seen outweighs it. */
  private static final double NORMAL_RATE = 0.1;

  private static final double NORMAL_RUNS = 4;

  // If one task in ten fails, three consecutive failures of different jobs are this rare.
  private static final double MAX_CHANCE = 0.001;
  private static final int MIN_FAILURES = 3;

  // Bounds the number of failures where nearly all runs fail.
  private static final double MAX_RATE = 0.9;

  /** Runs that have ended, weighted by their age. */
  private static final class Ends {
    private final RecentAverage all = new RecentAverage(TIME_CONSTANT_MILLIS);
    private final RecentAverage failed = new RecentAverage(TIME_CONSTANT_MILLIS);

    double failureRate(long now) {
      return (failed.value(now) + NORMAL_RATE * NORMAL_RUNS) / (all.value(now) + NORMAL_RUNS);
    }

    void add(boolean runFailed, long now) {
      all.add(TIME_CONSTANT_MILLIS, now);
      failed.add(runFailed ? TIME_CONSTANT_MILLIS : 0, now);
    }
  }

  private final Map<LiveExecutor, Ends> byExecutor = new IdentityHashMap<>();

  /** Records the end of a run. */
  void runEnded(LiveExecutor executor, boolean failed, long now) {
    if (executor.isCallable()) {
      byExecutor.computeIfAbsent(executor, e -> new Ends()).add(failed, now);
    }
  }

  void executorRemoved(LiveExecutor executor) {
    byExecutor.remove(executor);
  }

  /**
   * Returns how many failures in a row on an executor are too many to be by chance, given how often
   * runs fail on the other executors of its service.
   */
  int maxFailures(LiveExecutor executor, long now) {
    double rate = rateElsewhere(executor, now);
    int failures = MIN_FAILURES;
    while (rate > NORMAL_RATE && Math.pow(rate, failures) > MAX_CHANCE) {
      failures++;
    }
    return failures;
  }

  /**
   * Returns the median of the failure rates of the other executors. An executor on which everything
   * fails ends more runs than others, so runs of all executors together would say little.
   */
  private double rateElsewhere(LiveExecutor executor, long now) {
    double[] rates =
        byExecutor.entrySet().stream()
            .filter(e -> e.getKey() != executor && sameService(e.getKey(), executor))
            .mapToDouble(e -> e.getValue().failureRate(now))
            .sorted()
            .toArray();
    return rates.length == 0 ? NORMAL_RATE : Math.min(MAX_RATE, rates[(rates.length - 1) / 2]);
  }

  private static boolean sameService(LiveExecutor a, LiveExecutor b) {
    return a.isCallable() && b.isCallable() && a.info().service().equals(b.info().service());
  }
}
