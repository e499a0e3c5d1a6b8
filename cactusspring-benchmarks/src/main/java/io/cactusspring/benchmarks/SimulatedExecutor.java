package io.cactusspring.benchmarks;

import io.cactusspring.core.request.AttemptOutcome;
import java.util.function.LongConsumer;

/** An executor with a fixed number of slots that refuses requests while all are in use. */
final class SimulatedExecutor {
  private final EventQueue events;
  private final int slots;
  private int running;

  SimulatedExecutor(EventQueue events, int slots) {
    this.events = events;
    this.slots = slots;
  }

  /**
   * Serves a request or refuses it.
   *
   * @param answered called at the end of the execution with its start, in nanoseconds
   * @return the refusal, or null if the request was accepted
   */
  AttemptOutcome serve(long serviceNanos, LongConsumer answered) {
    if (running >= slots) {
      return new AttemptOutcome.NotRun();
    }
    running++;
    long started = events.now();
    events.schedule(
        serviceNanos,
        () -> {
          running--;
          answered.accept(started);
        });
    return null;
  }
}
