package io.cactusspring.core.shard;

import io.cactusspring.core.model.RunId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Exponential backoff between restarts of a service's replica. */
final class RestartBackoff {
  private static final long FIRST_DELAY_MILLIS = 250;
  private static final long MAX_DELAY_MILLIS = 60_000;
  private static final long RESET_AFTER_MILLIS = 600_000;

  private final Map<RunId, Delay> delays = new HashMap<>();

  private record Delay(long millis, long untilMillis, boolean waiting) {}

  /** Records that a replica ended, and delays its next start. */
  void recordFailure(RunId run, long nowMillis) {
    Delay last = delays.get(run);
    boolean isReset = last == null || nowMillis - last.untilMillis() > RESET_AFTER_MILLIS;
    long millis = isReset ? FIRST_DELAY_MILLIS : Math.min(MAX_DELAY_MILLIS, last.millis() * 2);
    delays.put(run, new Delay(millis, nowMillis + millis, true));
  }

  boolean isDelayed(RunId run) {
    Delay delay = delays.get(run);
    return delay != null && delay.waiting();
  }

  void remove(RunId run) {
    delays.remove(run);
  }

  /** Returns the runs whose delay has expired; each is returned once per delay. */
  List<RunId> due(long nowMillis) {
    List<RunId> due =
        delays.entrySet().stream()
            .filter(e -> e.getValue().waiting() && e.getValue().untilMillis() <= nowMillis)
            .map(Map.Entry::getKey)
            .toList();
    due.forEach(
        r -> delays.computeIfPresent(r, (k, d) -> new Delay(d.millis(), d.untilMillis(), false)));
    return due;
  }
}
