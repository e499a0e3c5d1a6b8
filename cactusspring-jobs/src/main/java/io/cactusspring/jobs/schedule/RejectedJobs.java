package io.cactusspring.jobs.schedule;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers rejected jobs, so that those rejected first are admitted first, and spreads the times
 * at which their callers return.
 */
final class RejectedJobs {
  static final long MAX_RETRY_MILLIS = 30_000;

  /** A caller that has not returned for twice the longest time to wait has given up. */
  private static final long RETENTION_MILLIS = 60_000;

  /** The largest surge expected, 200 rejections a second for 40 s; about 1 MB. */
  private static final int MAX_JOBS = 8_192;

  private static final long SECOND = 1_000;

  private record Rejection(long firstAt, long lastAt) {}

  private record Level(String service, int priority) {}

  /**
   * @param turnAt when the capacity has served all callers rejected so far
   * @param returnsAt when the last caller was asked to return
   */
  private record Turn(double turnAt, long returnsAt) {}

  private final Map<String, Rejection> jobs = new LinkedHashMap<>();
  private final Map<Level, Turn> turns = new HashMap<>();

  /** Returns for how long a job has been waiting since it was rejected first; 0 if it was not. */
  long waitedMillis(String id, long now) {
    Rejection rejection = jobs.get(id);
    boolean known = rejection != null && now - rejection.lastAt < RETENTION_MILLIS;
    return known ? now - rejection.firstAt : 0;
  }

  void remove(String id) {
    jobs.remove(id);
  }

  /** Records the rejection of a job. */
  void add(String id, long now) {
    long firstAt = now - waitedMillis(id, now);
    // The jobs rejected longest ago come first.
    jobs.remove(id);
    jobs.put(id, new Rejection(firstAt, now));
    var oldest = jobs.values().iterator();
    while (oldest.hasNext()
        && (oldest.next().lastAt <= now - RETENTION_MILLIS || jobs.size() > MAX_JOBS)) {
      oldest.remove();
    }
  }

  /**
   * Records the rejection of a job because of a backlog, and returns the milliseconds after which
   * its caller may return, in whole seconds. No caller is asked to return before one of the same
   * service and priority that was rejected earlier.
   *
   * @param drainMillis time until the backlog is expected to have drained
   * @param shareMillis time for which the job occupies the whole capacity
   */
  long add(
      String id, String service, int priority, double drainMillis, double shareMillis, long now) {
    add(id, now);
    Level level = new Level(service, priority);
    Turn last = turns.getOrDefault(level, new Turn(now, now));
    double latest = (double) now + MAX_RETRY_MILLIS;
    double turnAt = Math.min(latest, Math.max(now + drainMillis, last.turnAt + shareMillis));
    double returnAt = Math.max(turnAt, last.returnsAt);
    long seconds = (long) Math.ceil((returnAt - now) / SECOND);
    long retryMillis = Math.clamp(seconds * SECOND, SECOND, MAX_RETRY_MILLIS);
    turns.put(level, new Turn(turnAt, now + retryMillis));
    return retryMillis;
  }
}
