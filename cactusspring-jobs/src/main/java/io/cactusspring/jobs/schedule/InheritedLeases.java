package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.ledger.LeaseBounds;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * When the leases that earlier owners have granted have lapsed, in milliseconds of a monotonic
 * clock.
 *
 * @param lapseAt when all of them have lapsed
 * @param silentLapseAt when they have lapsed on executors that did not answer the last owner, by
 *     executor id
 * @since 0.2
 */
public record InheritedLeases(long lapseAt, Map<String, Long> silentLapseAt) {
  public InheritedLeases {
    silentLapseAt = Map.copyOf(silentLapseAt);
  }

  /** Returns leases of which no more is known than when all have lapsed. */
  public static InheritedLeases until(long lapseAt) {
    return new InheritedLeases(lapseAt, Map.of());
  }

  /** Returns when the leases on an executor have lapsed. */
  public long lapseAt(String executor) {
    return Math.min(lapseAt, silentLapseAt.getOrDefault(executor, lapseAt));
  }

  /** Returns whether an executor did not answer the last owner. */
  boolean isSilent(String executor) {
    return silentLapseAt.containsKey(executor);
  }

  /** Returns what an owner records that has granted no lease yet. */
  public LeaseBounds bounds(long now) {
    Map<String, Long> silent =
        silentLapseAt.keySet().stream()
            .collect(Collectors.toMap(Function.identity(), e -> remaining(lapseAt(e), now)));
    return new LeaseBounds(false, remaining(lapseAt, now), silent);
  }

  static long remaining(long lapseAt, long now) {
    return Math.max(0, lapseAt - now);
  }
}
