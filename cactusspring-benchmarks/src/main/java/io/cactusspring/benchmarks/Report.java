package io.cactusspring.benchmarks;

import io.cactusspring.benchmarks.cell.CellResult;
import io.cactusspring.benchmarks.cell.Demand;
import io.cactusspring.benchmarks.cell.PackingFill;
import io.cactusspring.benchmarks.cell.Policy;
import io.cactusspring.benchmarks.cell.Site;
import io.cactusspring.benchmarks.cell.VirtualCell;
import io.cactusspring.benchmarks.request.RequestCell;
import io.cactusspring.benchmarks.request.RequestPolicy;
import io.cactusspring.benchmarks.request.RequestResult;
import io.cactusspring.benchmarks.request.Scenario;
import io.cactusspring.benchmarks.speed.CellSize;
import io.cactusspring.benchmarks.speed.PlacementSpeed;
import io.cactusspring.benchmarks.speed.SpeedResult;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
import org.HdrHistogram.Histogram;

/** Runs all measurements, prints their tables and writes the figures as CSV. */
final class Report {
  private static final double BUSY_LOAD = 0.9;
  private static final double FULL_LOAD = 4;
  private static final int FILLS = 20;
  private static final int SPEED_WARM_UP_DIVISOR = 3;

  private final Effort effort;
  private final long seed;
  private final Path csv;
  private final Goals goals = new Goals();

  Report(Effort effort, long seed, Path csv) {
    this.effort = effort;
    this.seed = seed;
    this.csv = csv;
  }

  void run(PrintStream out) throws IOException {
    out.printf("seed %d, %s%n", seed, effort);
    for (Site site : List.of(Site.riga(), Site.tema())) {
      reportWaiting(out, site);
      reportFull(out, site);
      reportFill(out, site);
    }
    reportRequests(out);
    reportSpeed(out);
    printAndWrite(out, goals.table(), "Goals");
  }

  private void printAndWrite(PrintStream out, Table table, String heading) throws IOException {
    table.print(out, heading);
    table.write(csv);
  }

  private List<CellResult> runs(Site site, Policy policy, Demand demand) {
    return LongStream.range(seed, seed + effort.seeds())
        .mapToObj(s -> VirtualCell.run(site, policy, demand, s))
        .toList();
  }

  private void reportWaiting(PrintStream out, Site site) throws IOException {
    Table table =
        new Table(
            "waiting-" + site.name(), "class", "policy", "runs", "p50 ms", "p99 ms", "p99.9 ms");
    Map<Policy, Map<String, Histogram>> waiting = new EnumMap<>(Policy.class);
    for (Policy policy : Policy.values()) {
      List<CellResult> results =
          runs(site, policy, new Demand(BUSY_LOAD, effort.arrivals(), false));
      waiting.put(policy, merged(results));
    }
    for (String workClass : waiting.get(Policy.CACTUSSPRING).keySet()) {
      waiting.forEach((p, h) -> table.add(waitingRow(workClass, p, h.get(workClass))));
    }
    printAndWrite(out, table, "Waiting, " + site.name() + ", load " + BUSY_LOAD);
    waitingGoals(site, waiting);
  }

  private static Map<String, Histogram> merged(List<CellResult> results) {
    Map<String, Histogram> merged = new TreeMap<>();
    for (CellResult result : results) {
      result
          .waitingMillis()
          .forEach((c, h) -> merged.computeIfAbsent(c, k -> new Histogram(h)).add(h));
    }
    return merged;
  }

  private static String[] waitingRow(String workClass, Policy policy, Histogram millis) {
    return new String[] {
      workClass,
      policy.label(),
      Long.toString(millis.getTotalCount()),
      Long.toString(millis.getValueAtPercentile(50)),
      Long.toString(millis.getValueAtPercentile(99)),
      Long.toString(millis.getValueAtPercentile(99.9))
    };
  }

  private void waitingGoals(Site site, Map<Policy, Map<String, Histogram>> waiting) {
    if (!site.name().equals("riga")) {
      return;
    }
    for (String workClass : List.of("counter", "(all)")) {
      double cactusspringP99 = p99(waiting.get(Policy.CACTUSSPRING).get(workClass));
      double fcfsP99 = p99(waiting.get(Policy.FIRST_COME_FIRST_SERVED).get(workClass));
      goals.atMost(
          "riga p99 waiting of " + workClass + " against fcfs", 0.5, cactusspringP99 / fcfsP99, "");
    }
  }

  private static double p99(Histogram histogram) {
    return histogram.getValueAtPercentile(99);
  }

  private void reportFull(PrintStream out, Site site) throws IOException {
    Table table =
        new Table(
            "full-" + site.name(),
            "policy",
            "packing",
            "distance from share",
            "preemptions",
            "starts",
            "decide ms/virtual s");
    Map<Policy, Double> packing = new EnumMap<>(Policy.class);
    Demand demand = new Demand(FULL_LOAD, effort.arrivals() / 2, true);
    for (Policy policy : Policy.values()) {
      List<CellResult> results = runs(site, policy, demand);
      packing.put(policy, mean(results, CellResult::packing));
      double distance = mean(results, CellResult::shareDistance);
      table.add(
          policy.label(),
          threeDecimals(packing.get(policy)),
          threeDecimals(distance),
          Long.toString(Math.round(mean(results, CellResult::preemptions))),
          Long.toString(Math.round(mean(results, CellResult::starts))),
          threeDecimals(mean(results, r -> r.decideNanos() / 1e3 / r.virtualMillis())));
      if (policy == Policy.CACTUSSPRING) {
        goals.atMost(site.name() + " largest distance from share when full", 0.05, distance, "");
      }
    }
    printAndWrite(out, table, "All teams ask for more than there is, " + site.name());
    packingGoal(site.name() + " packing when full", packing);
  }

  private void packingGoal(String goal, Map<Policy, Double> packing) {
    double threshold = packing.get(Policy.FIRST_FIT) + 0.01;
    goals.atLeast(
        goal + " against first fit + 0.01", threshold, packing.get(Policy.CACTUSSPRING), "");
  }

  private static double mean(List<CellResult> results, ToDoubleFunction<CellResult> value) {
    return results.stream().mapToDouble(value).average().orElse(Double.NaN);
  }

  private void reportFill(PrintStream out, Site site) throws IOException {
    Table table = new Table("fill-" + site.name(), "policy", "packing at the first refusal");
    Map<Policy, Double> packing = new EnumMap<>(Policy.class);
    for (Policy policy : List.of(Policy.CACTUSSPRING, Policy.FIRST_FIT)) {
      double mean =
          LongStream.range(seed, seed + FILLS)
              .mapToDouble(s -> PackingFill.fill(site, policy, s))
              .average()
              .orElse(Double.NaN);
      packing.put(policy, mean);
      table.add(policy.label(), threeDecimals(mean));
    }
    printAndWrite(
        out, table, "Filling empty workers, " + site.name() + ", mean of " + FILLS + " lists");
    packingGoal(site.name() + " packing at the first refusal", packing);
  }

  private void reportRequests(PrintStream out) throws IOException {
    Table table =
        new Table(
            "requests",
            "scenario",
            "policy",
            "answered",
            "attempts/request",
            "p50 ms",
            "p99 ms",
            "p99.9 ms",
            "decide p99 us");
    for (Scenario scenario : List.of(Scenario.uneven(), Scenario.failing())) {
      for (RequestPolicy policy : RequestPolicy.values()) {
        RequestResult r = RequestCell.run(scenario, policy, effort.requests(), seed);
        table.add(
            scenario.name(),
            policy.label(),
            threeDecimals(r.answered()),
            threeDecimals(r.attempts()),
            oneDecimal(r.latencyMicros().getValueAtPercentile(50) / 1e3),
            oneDecimal(r.latencyMicros().getValueAtPercentile(99) / 1e3),
            oneDecimal(r.latencyMicros().getValueAtPercentile(99.9) / 1e3),
            oneDecimal(r.decisionNanos().getValueAtPercentile(99) / 1e3));
      }
    }
    printAndWrite(out, table, "Requests");
  }

  private void reportSpeed(PrintStream out) throws IOException {
    Table table =
        new Table(
            "speed",
            "workers",
            "teams",
            "running",
            "waiting",
            "decisions/s",
            "us/decision",
            "p50 us",
            "p99 us",
            "max us");
    double small = speedRow(table, new CellSize(30, 6, 250, 500)).nanosPerPlacement();
    speedRow(table, new CellSize(150, 12, 1_240, 1_000));
    speedRow(table, new CellSize(500, 24, 4_130, 2_000));
    SpeedResult target = speedRow(table, new CellSize(1_500, 41, 12_400, 5_000));
    printAndWrite(out, table, "Speed of placement on one core, full cells");
    double growth = Math.log(target.nanosPerPlacement() / small) / Math.log(1_500 / 30.0);
    goals.atMost("growth of a decision from 30 to 1500 workers, exponent", 0.99, growth, "");
  }

  private SpeedResult speedRow(Table table, CellSize size) {
    PlacementSpeed.measure(size, effort.steps() / SPEED_WARM_UP_DIVISOR, seed + 1);
    SpeedResult r = PlacementSpeed.measure(size, effort.steps(), seed);
    Histogram nanos = r.decideNanos();
    table.add(
        Integer.toString(size.workers()),
        Integer.toString(size.teams()),
        Integer.toString(r.running()),
        Integer.toString(r.waiting()),
        Long.toString(Math.round(r.placementsPerSecond())),
        oneDecimal(r.nanosPerPlacement() / 1e3),
        oneDecimal(nanos.getValueAtPercentile(50) / 1e3),
        oneDecimal(nanos.getValueAtPercentile(99) / 1e3),
        oneDecimal(nanos.getMaxValue() / 1e3));
    if (size.workers() == 30 || size.workers() == 1_500) {
      double wanted = size.workers() == 30 ? 5_000 : 2_000;
      String at = " at " + size.workers() + " workers";
      goals.atLeast("decisions/s" + at, wanted, r.placementsPerSecond(), "");
      goals.atMost("p99 of a decision" + at, 5, nanos.getValueAtPercentile(99) / 1e6, "ms");
    }
    return r;
  }

  private static String threeDecimals(double value) {
    return String.format(Locale.ROOT, "%.3f", value);
  }

  private static String oneDecimal(double value) {
    return String.format(Locale.ROOT, "%.1f", value);
  }
}
