package io.cactusspring.benchmarks;

import io.cactusspring.core.request.RequestSettings;
import java.io.PrintStream;
import org.HdrHistogram.Histogram;

/**
 * Measures request routing in virtual time: waiting times compared with random routing, and retries
 * compared with a router without a retry budget.
 *
 * @since 0.1
 */
public final class RequestBench {
  private static final double NANOS_PER_MILLI = 1e6;
  private static final long QUICK_MILLIS = 4_000;
  private static final long FULL_MILLIS = 20_000;

  private RequestBench() {}

  /**
   * Runs all comparisons and prints one line for each.
   *
   * @param seed seed of all random draws; equal seeds give equal figures
   * @param quick whether to simulate a fifth of the full time
   */
  public static void run(PrintStream out, long seed, boolean quick) {
    long millis = quick ? QUICK_MILLIS : FULL_MILLIS;
    out.println("requests: 9 entry hosts, 3 zones, 30 executors of 8 slots, virtual time");
    for (double load : new double[] {0.5, 0.9}) {
      RequestScenario base = RequestScenario.steady(seed, load, millis);
      print(out, "waiting, load " + load + ", least loaded", base);
      print(out, "waiting, load " + load + ", random", base.withRouting(Routing.RANDOM));
    }
    compareRetries(out, "executors slow", RequestScenario.slowdown(seed, 0.7, millis));
    compareRetries(out, "executors failing", RequestScenario.failing(seed, 0.7, millis));
  }

  private static void compareRetries(PrintStream out, String name, RequestScenario scenario) {
    print(out, name + ", with retry budget", scenario);
    print(out, name + ", without", scenario.withSettings(withoutBudget(scenario.settings())));
  }

  private static RequestSettings withoutBudget(RequestSettings s) {
    return RequestSettings.builder()
        .attemptTimeoutMillis(s.attemptTimeoutMillis())
        .maxAttempts(100)
        .retryRatio(1)
        .retryReserve(1_000_000)
        .build();
  }

  private static void print(PrintStream out, String name, RequestScenario scenario) {
    RequestFigures f = new RequestSimulation(scenario).run();
    Histogram w = f.waiting();
    out.printf(
        "%-38s offered %d, answered %d, answered in time %.2f%%, refused %d, failed %d,"
            + " executions per request %.3f, waiting ms p50 %.2f p99 %.2f p99.9 %.2f%n",
        name,
        f.offered(),
        f.answered(),
        100.0 * f.answered() / f.offered(),
        f.refusedNotRun(),
        f.refusedUnknown(),
        f.executions() / (double) f.offered(),
        w.getValueAtPercentile(50) / NANOS_PER_MILLI,
        w.getValueAtPercentile(99) / NANOS_PER_MILLI,
        w.getValueAtPercentile(99.9) / NANOS_PER_MILLI);
  }

  /** Runs the benchmark with seed 1. */
  public static void main(String[] args) {
    run(System.out, 1, args.length > 0 && args[0].equals("--quick"));
  }
}
