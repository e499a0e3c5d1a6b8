package io.cactusspring.benchmarks;

import io.cactusspring.core.request.AttemptOutcome;
import java.util.function.LongConsumer;

/** An executor with a number of slots that refuses what does not fit. */
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
   * @param answered called with the start of the execution
   * @return the refusal, or null when it is being served
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
