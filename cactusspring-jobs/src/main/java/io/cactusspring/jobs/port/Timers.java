package io.cactusspring.jobs.port;

/**
 * Clocks and delayed tasks.
 *
 * @since 0.2
 */
public interface Timers {
  /** Returns the time of a monotonic clock with an arbitrary origin, in milliseconds. */
  long nowMillis();

  /** Returns the wall-clock time in milliseconds since the Unix epoch; it may jump. */
  long wallMillis();

  /** Runs a task once, after a delay in milliseconds; 0 for as soon as possible. */
  void after(long millis, Runnable task);
}
