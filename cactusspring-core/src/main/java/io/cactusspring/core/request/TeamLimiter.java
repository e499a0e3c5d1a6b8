package io.cactusspring.core.request;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.ToIntFunction;

/**
 * Limits the requests that each team runs on this entry host, over all services. A request holds
 * one unit of its team's upper limit from its first attempt until it ends. Thread-safe.
 *
 * @since 0.1
 */
public final class TeamLimiter {
  private final Map<String, AtomicInteger> inUse = new ConcurrentHashMap<>();
  private final ToIntFunction<String> limit;

  /**
   * @param limit returns the number of units that a team may hold now
   */
  public TeamLimiter(ToIntFunction<String> limit) {
    this.limit = limit;
  }

  public int limit(String team) {
    return limit.applyAsInt(team);
  }

  public int inUse(String team) {
    AtomicInteger n = inUse.get(team);
    return n == null ? 0 : n.get();
  }

  /** Returns whether a unit is free now. */
  public boolean hasFree(String team) {
    return inUse(team) < limit(team);
  }

  /** Acquires a unit if one is free; returns whether it did. */
  public boolean tryAcquire(String team) {
    AtomicInteger n = counter(team);
    int max = limit(team);
    return n.getAndUpdate(v -> v < max ? v + 1 : v) < max;
  }

  /** Acquires a unit regardless of the limit. */
  void acquire(String team) {
    counter(team).incrementAndGet();
  }

  public void release(String team) {
    counter(team).decrementAndGet();
  }

  private AtomicInteger counter(String team) {
    return inUse.computeIfAbsent(team, t -> new AtomicInteger());
  }
}
