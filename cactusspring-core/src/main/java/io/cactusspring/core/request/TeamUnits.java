package io.cactusspring.core.request;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.ToIntFunction;

/**
 * Limits the requests that each team has in flight on this entry host, over all services. A request
 * in flight holds one unit of its team's upper limit. Thread-safe.
 *
 * @since 0.1
 */
public final class TeamUnits {
  private final Map<String, AtomicInteger> held = new ConcurrentHashMap<>();
  private final ToIntFunction<String> limit;

  /**
   * @param limit returns the number of units that a team may hold now
   */
  public TeamUnits(ToIntFunction<String> limit) {
    this.limit = limit;
  }

  public int limit(String team) {
    return limit.applyAsInt(team);
  }

  public int held(String team) {
    AtomicInteger n = held.get(team);
    return n == null ? 0 : n.get();
  }

  /** Returns whether a unit is free now. */
  public boolean hasFree(String team) {
    return held(team) < limit(team);
  }

  /** Acquires a unit if one is free; returns whether it did. */
  public boolean tryTake(String team) {
    AtomicInteger n = counter(team);
    int max = limit(team);
    return n.getAndUpdate(v -> v < max ? v + 1 : v) < max;
  }

  /** Acquires a unit regardless of the limit. */
  void take(String team) {
    counter(team).incrementAndGet();
  }

  public void give(String team) {
    counter(team).decrementAndGet();
  }

  private AtomicInteger counter(String team) {
    return held.computeIfAbsent(team, t -> new AtomicInteger());
  }
}
