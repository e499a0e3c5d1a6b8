package io.cactusspring.jobs.control;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Decides from the lag of the event loop whether a host takes new submissions, and whether the load
 * balancer should route callers to it.
 *
 * <p>Callers wait for the event loop before anything else happens with their requests. Another host
 * serves them sooner than one whose loop lags by half a second.
 */
final class EventLoopLag {
  /** Average lag above which new submissions are refused; a quick job's objective is 1.5 s. */
  static final long MAX_LAG_MILLIS = 500;

  /** Average lag below which a host that was not ready is ready again. */
  static final long READY_LAG_MILLIS = 200;

  static final long AVERAGED_MILLIS = 1_000;

  /** Refusals protect the host for this long before the load balancer is involved. */
  static final long READY_WHILE_LAGGING_MILLIS = 1_000;

  private record Sample(long at, long lagMillis) {}

  private final Deque<Sample> samples = new ArrayDeque<>();
  private long sum;
  private boolean lagging;
  private long laggingSince;
  private boolean ready = true;

  /**
   * Records that a task ran on the event loop.
   *
   * @param lagMillis time since the task was due; it counts up to {@link #AVERAGED_MILLIS}, so that
   *     a single pause of the process does not outlast it
   */
  void taskRan(long lagMillis, long now) {
    long counted = Math.clamp(lagMillis, 0, AVERAGED_MILLIS);
    samples.add(new Sample(now, counted));
    sum += counted;
    while (samples.peek().at <= now - AVERAGED_MILLIS) {
      sum -= samples.remove().lagMillis;
    }
    long average = averageMillis();
    if (!ready) {
      ready = average < READY_LAG_MILLIS;
      lagging = !ready;
      return;
    }
    if (average > MAX_LAG_MILLIS != lagging) {
      lagging = !lagging;
      laggingSince = now;
    }
    ready = !lagging || now - laggingSince < READY_WHILE_LAGGING_MILLIS;
  }

  /** Returns the average lag over the last second. */
  long averageMillis() {
    return samples.isEmpty() ? 0 : sum / samples.size();
  }

  /** Returns whether new submissions are to be refused. */
  boolean isLagging() {
    return lagging;
  }

  /** Returns whether the load balancer may route callers to this host. */
  boolean isReady() {
    return ready;
  }
}
