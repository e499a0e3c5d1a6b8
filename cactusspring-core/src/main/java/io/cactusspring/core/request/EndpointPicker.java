package io.cactusspring.core.request;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;

/**
 * Chooses the endpoint of an attempt: the least loaded of a random sample at the nearest distance
 * that has capacity.
 */
final class EndpointPicker {
  private final RequestRules rules;
  private final int samples;
  private final RandomGenerator random;
  private final ToIntFunction<String> remoteInFlight;

  /**
   * @param remoteInFlight last known number of requests in flight from other entry hosts to an
   *     endpoint, by endpoint name; may be outdated
   */
  EndpointPicker(
      RequestRules rules,
      int samples,
      RandomGenerator random,
      ToIntFunction<String> remoteInFlight) {
    this.rules = rules;
    this.samples = samples;
    this.random = random;
    this.remoteInFlight = remoteInFlight;
  }

  /**
   * Returns the endpoint for an attempt; empty if none has capacity.
   *
   * @param avoid endpoint that is chosen only if no other at the same distance has capacity; may be
   *     null
   * @param maySpill whether endpoints of other zones may be chosen even if this zone has some
   */
  Optional<EndpointState> pick(
      Collection<EndpointState> endpoints, String avoid, boolean maySpill, long nowNanos) {
    List<EndpointState> usable = usable(endpoints, nowNanos);
    for (EndpointShare.Distance d : EndpointShare.Distance.values()) {
      if (d != EndpointShare.Distance.SAME_ZONE && !maySpill && hasSameZone(usable)) {
        break;
      }
      Optional<EndpointState> found = pickAt(d, usable, avoid, nowNanos);
      if (found.isPresent()) {
        return found;
      }
    }
    return Optional.empty();
  }

  /** Excludes suspended endpoints, unless all endpoints are suspended. */
  private List<EndpointState> usable(Collection<EndpointState> endpoints, long nowNanos) {
    List<EndpointState> open =
        endpoints.stream().filter(e -> rules.acceptsWork(e.share())).toList();
    List<EndpointState> healthy = open.stream().filter(e -> !e.isSuspended(nowNanos)).toList();
    return healthy.isEmpty() ? open : healthy;
  }

  private static boolean hasSameZone(List<EndpointState> endpoints) {
    return endpoints.stream()
        .anyMatch(e -> e.share().distance() == EndpointShare.Distance.SAME_ZONE);
  }

  private Optional<EndpointState> pickAt(
      EndpointShare.Distance distance, List<EndpointState> usable, String avoid, long nowNanos) {
    List<EndpointState> free =
        usable.stream()
            .filter(e -> e.share().distance() == distance)
            .filter(e -> e.hasCapacity(remote(e), nowNanos))
            .toList();
    List<EndpointState> preferred =
        free.stream().filter(e -> !e.share().name().equals(avoid)).toList();
    return leastLoadedOfSample(preferred.isEmpty() ? free : preferred);
  }

  private Optional<EndpointState> leastLoadedOfSample(List<EndpointState> free) {
    EndpointState best = null;
    double bestScore = Double.MAX_VALUE;
    int n = Math.min(samples, free.size());
    for (int i = 0; i < n; i++) {
      EndpointState e = free.get(random.nextInt(free.size()));
      double score = e.score(remote(e));
      if (score < bestScore) {
        best = e;
        bestScore = score;
      }
    }
    return Optional.ofNullable(best);
  }

  private int remote(EndpointState e) {
    return remoteInFlight.applyAsInt(e.share().name());
  }
}
