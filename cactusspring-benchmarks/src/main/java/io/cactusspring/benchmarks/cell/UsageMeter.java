package io.cactusspring.benchmarks.cell;

import io.cactusspring.core.model.Resources;
import java.util.HashMap;
import java.util.Map;

/** Averages resource usage, in total and by team, over the time in which work waits. */
final class UsageMeter {
  private final Site site;
  private final Resources total;
  private final Map<String, Resources> usedByTeam = new HashMap<>();
  private final Map<String, Double> dominantShareMillisByTeam = new HashMap<>();
  private Resources used = Resources.NONE;
  private double processorMillis;
  private double memoryMillis;
  private long measuredMillis;
  private long lastMillis;

  UsageMeter(Site site) {
    this.site = site;
    this.total = site.total();
  }

  void started(String team, Resources size) {
    used = used.plus(size);
    usedByTeam.merge(team, size, Resources::plus);
  }

  void ended(String team, Resources size) {
    used = used.minus(size);
    usedByTeam.computeIfPresent(team, (k, amount) -> amount.minus(size));
  }

  /**
   * Counts the time since the last call: for packing if any run waits, and for shares if every team
   * has waiting runs.
   */
  void advance(long nowMillis, boolean isMeasuring, Scheduler scheduler) {
    long millis = nowMillis - lastMillis;
    lastMillis = nowMillis;
    if (!isMeasuring || millis == 0 || scheduler.waitingRuns() == 0) {
      return;
    }
    addPacking(millis);
    if (site.shares().keySet().stream().allMatch(t -> scheduler.waiting(t) > 0)) {
      addShares(millis);
    }
  }

  private void addPacking(long millis) {
    measuredMillis += millis;
    processorMillis += millis * ratio(used.milliProcessors(), total.milliProcessors());
    memoryMillis += millis * ratio(used.memoryMib(), total.memoryMib());
  }

  private void addShares(long millis) {
    usedByTeam.forEach(
        (team, amount) ->
            dominantShareMillisByTeam.merge(
                team, millis * amount.dominantShareOf(total), Double::sum));
  }

  private static double ratio(long part, long whole) {
    return (double) part / whole;
  }

  double packing() {
    return measuredMillis == 0
        ? Double.NaN
        : Math.max(processorMillis, memoryMillis) / measuredMillis;
  }

  double shareDistance() {
    double all = dominantShareMillisByTeam.values().stream().mapToDouble(d -> d).sum();
    double shares = site.shares().values().stream().mapToDouble(s -> s).sum();
    return site.shares().entrySet().stream()
        .mapToDouble(
            e -> {
              double entitled = e.getValue() / shares;
              return Math.abs(
                      dominantShareMillisByTeam.getOrDefault(e.getKey(), 0.0) / all - entitled)
                  / entitled;
            })
        .max()
        .orElse(Double.NaN);
  }
}
