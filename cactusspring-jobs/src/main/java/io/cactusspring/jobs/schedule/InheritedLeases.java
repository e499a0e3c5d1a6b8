package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.ledger.LeaseBounds;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * When the leases that earlier owners have granted have lapsed, in milliseconds of a monotonic
 * clock.
 *
 * @param lapseAt when all of them have lapsed
 * @param silentLapseAt when they have lapsed on executors that did not answer the last owner, by
 *     executor id
 * @param earlierLapseAt when those of the owners before the last one have lapsed
 * @param leaseMillis how long a lease of the last owner lasts at most, from when it was granted
 * @param longLapseAt when they have lapsed on executors that may have taken longer ones, by
 *     executor id
 * @since 0.2
 */
public record InheritedLeases(
    long lapseAt,
    Map<String, Long> silentLapseAt,
    long earlierLapseAt,
    long leaseMillis,
    Map<String, Long> longLapseAt) {
  public InheritedLeases {
    silentLapseAt = Map.copyOf(silentLapseAt);
    longLapseAt = Map.copyOf(longLapseAt);
  }

  /** Returns leases of which no more is known than when all have lapsed. */
  public static InheritedLeases until(long lapseAt) {
    return new InheritedLeases(lapseAt, Map.of(), lapseAt, 0, Map.of());
  }

  /**
   * Returns the leases if the last owner has granted none since a time, at which its process had
   * certainly ended.
   */
  public InheritedLeases lastOwnerEnded(long endedAt) {
    long shortened = Math.min(lapseAt, Math.max(earlierLapseAt, endedAt + leaseMillis));
    return new InheritedLeases(shortened, silentLapseAt, earlierLapseAt, leaseMillis, longLapseAt);
  }

  /** Returns whether the leases may lapse sooner once the last owner is known to have ended. */
  public boolean dependOnLastOwner() {
    return lapseAt > earlierLapseAt;
  }

  /** Returns when the leases on an executor have lapsed that owners have granted to its boot. */
  public long lapseAt(String executor) {
    return Math.min(lapseAt, silentLapseAt.getOrDefault(executor, lapseAt));
  }

  /** Returns when the leases on an executor have lapsed that it may have taken otherwise. */
  OptionalLong longLapseAt(String executor) {
    Long lapse = longLapseAt.get(executor);
    return lapse == null ? OptionalLong.empty() : OptionalLong.of(lapse);
  }

  /** Returns for how many milliseconds such leases last, by executor id. */
  Map<String, Long> longLeaseMillis(long now) {
    return longLapseAt.entrySet().stream()
        .filter(e -> e.getValue() > now)
        .collect(Collectors.toMap(Map.Entry::getKey, e -> e.getValue() - now));
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
    return new LeaseBounds(false, remaining(lapseAt, now), silent, longLeaseMillis(now));
  }

  /** Returns in how many milliseconds leases lapse; 0 if they have. */
  public static long remaining(long lapseAt, long now) {
    return Math.max(0, lapseAt - now);
  }
}
