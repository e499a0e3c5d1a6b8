package io.cactusspring.core.fuzz;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Queue of the simulation's events, run in the order of true time. */
final class EventQueue {
  private final PriorityQueue<Event> queue =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));
  private long now;
  private long nextSequence;

  private record Event(long atMillis, long sequence, Runnable action) {}

  long now() {
    return now;
  }

  void schedule(long delayMillis, Runnable action) {
    queue.add(new Event(now + Math.max(0, delayMillis), nextSequence++, action));
  }

  void runFor(long millis) {
    long until = now + millis;
    while (!queue.isEmpty() && queue.peek().atMillis() <= until) {
      Event next = queue.poll();
      now = next.atMillis();
      next.action().run();
    }
    now = until;
  }
}
