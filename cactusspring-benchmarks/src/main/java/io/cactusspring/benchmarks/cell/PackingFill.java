package io.cactusspring.benchmarks.cell;

import io.cactusspring.core.model.Resources;
import io.cactusspring.core.placement.Decision;
import java.util.List;

/** Fills a site with single runs until one fits on no worker. */
public final class PackingFill {
  private static final int MAX_RUNS = 100_000;

  private PackingFill() {}

  /**
   * Returns the fraction of the scarcest resource in use when a run is refused for the first time.
   */
  public static double fill(Site site, Policy policy, long seed) {
    Scheduler scheduler = policy.newScheduler(site);
    Resources used = Resources.NONE;
    for (Arrival arrival : Arrivals.draw(site, new Demand(1, MAX_RUNS, false), seed)) {
      if (arrival.runs().size() > 1) {
        continue;
      }
      scheduler.enqueue(arrival.runs().getFirst(), 0);
      List<Decision> decisions = scheduler.decide(0);
      if (decisions.stream().noneMatch(d -> !(d instanceof Decision.Preempt))) {
        break;
      }
      used = used.plus(arrival.runs().getFirst().spec().resources());
    }
    return used.dominantShareOf(site.total());
  }
}
