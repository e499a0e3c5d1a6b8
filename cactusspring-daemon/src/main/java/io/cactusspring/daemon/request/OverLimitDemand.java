package io.cactusspring.daemon.request;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Demand of teams whose requests were refused because this entry host has no budget of the team.
 * Refused requests do not wait in a queue, but their demand has to be visible so that spare budget
 * is moved here.
 */
final class OverLimitDemand {
  static final int MAX_UNITS = 16;
  private static final long RETENTION_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);

  private final Map<String, Deque<Long>> refusedAtNanos = new HashMap<>();

  /** Records the refusal of one request. */
  synchronized void recordRefusal(String team, long nowNanos) {
    Deque<Long> times = refusedAtNanos.computeIfAbsent(team, t -> new ArrayDeque<>());
    times.addLast(nowNanos);
    if (times.size() > MAX_UNITS) {
      times.removeFirst();
    }
  }

  /** Returns the number of refusals within the retention period, at most {@link #MAX_UNITS}. */
  synchronized int units(String team, long nowNanos) {
    Deque<Long> times = refusedAtNanos.getOrDefault(team, new ArrayDeque<>());
    times.removeIf(at -> nowNanos - at > RETENTION_NANOS);
    return times.size();
  }
}
