package io.cactusspring.daemon.cell;

/**
 * Milliseconds of a clock that never jumps; only differences have a meaning.
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
