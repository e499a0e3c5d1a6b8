package io.cactusspring.jobs.schedule;

import io.cactusspring.core.model.Resources;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/**
 * Which resource limits the work of each service: the one of which its runs and its waiting tasks
 * need the largest share of the capacity.
 *
 * <p>Decisions that compare amounts of work or of room count in this resource. Where processors
 * limit the work, or nothing is known yet, these are processors.
 */
final class ScarceResources {
  /** The mix of work changes over seconds. */
  private static final long UPDATE_INTERVAL_MILLIS = 250;

  /** Weight of the newest shares; half of an old one is forgotten after about 1.6 s. */
  private static final double NEWEST_WEIGHT = 0.1;

  /** Another resource has to be this much scarcer, so that the choice does not alternate. */
  private static final double MIN_RATIO = 1.1;

  private static final class Service {
    private final Map<ResourceKind, Double> shares = new EnumMap<>(ResourceKind.class);
    private ResourceKind scarce = ResourceKind.PROCESSORS;

    private double share(ResourceKind kind) {
      return shares.getOrDefault(kind, 0.0);
    }

    private void add(Totals totals) {
      for (ResourceKind kind : ResourceKind.values()) {
        double capacity = totals.capacity.getOrDefault(kind, 0.0);
        double share = capacity == 0 ? 0 : totals.needed.getOrDefault(kind, 0.0) / capacity;
        shares.merge(kind, share, (old, s) -> old + NEWEST_WEIGHT * (s - old));
      }
      for (ResourceKind kind : ResourceKind.values()) {
        if (share(kind) > MIN_RATIO * share(scarce)) {
          scarce = kind;
        }
      }
    }
  }

  /**
   * What the work of a service needs, and what its executors offer. What callers ask for may exceed
   * any amount of {@link Resources}.
   */
  private static final class Totals {
    private final Map<ResourceKind, Double> needed = new EnumMap<>(ResourceKind.class);
    private final Map<ResourceKind, Double> capacity = new EnumMap<>(ResourceKind.class);

    private static void add(Map<ResourceKind, Double> sums, Resources one, int times) {
      for (ResourceKind kind : ResourceKind.values()) {
        sums.merge(kind, kind.of(one) * times, Double::sum);
      }
    }
  }

  private final Collection<LiveExecutor> executors;
  private final WaitingSteps waiting;
  private final Map<String, Service> services = new HashMap<>();
  private long updatedAt = Long.MIN_VALUE / 2;

  /**
   * @param executors all known executors
   */
  ScarceResources(Collection<LiveExecutor> executors, WaitingSteps waiting) {
    this.executors = executors;
    this.waiting = waiting;
  }

  /** Returns the resource that limits the work of a service. */
  ResourceKind of(String service, long now) {
    if (now - updatedAt >= UPDATE_INTERVAL_MILLIS) {
      updatedAt = now;
      update();
    }
    Service known = services.get(service);
    return known == null ? ResourceKind.PROCESSORS : known.scarce;
  }

  private void update() {
    Map<String, Totals> totals = new HashMap<>();
    for (LiveExecutor executor : executors) {
      if (executor.isCallable() && executor.listed()) {
        Totals sums = totals.computeIfAbsent(executor.info().service(), s -> new Totals());
        Totals.add(sums.needed, executor.used(), 1);
        Totals.add(sums.capacity, executor.info().capacity(), 1);
      }
    }
    for (LiveStep step : waiting.all()) {
      Totals sums = totals.computeIfAbsent(step.job().spec().queue().service(), s -> new Totals());
      Totals.add(sums.needed, step.spec().committed(), step.waitingTasks());
    }
    totals.forEach(
        (service, total) -> services.computeIfAbsent(service, s -> new Service()).add(total));
  }
}
