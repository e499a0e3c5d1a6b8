package io.cactusspring.daemon.cell;

/**
 * Monotonic clock in milliseconds. Only differences between two readings are meaningful.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface MonotonicClock {
  long NANOS_PER_MILLI = 1_000_000;

  long millis();

  /** Returns the clock of this process. */
  static MonotonicClock system() {
    return () -> System.nanoTime() / NANOS_PER_MILLI;
  }
}
