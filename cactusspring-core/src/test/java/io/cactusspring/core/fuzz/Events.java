package io.cactusspring.core.fuzz;

import java.util.Comparator;
import java.util.PriorityQueue;

/** What is going to happen, in order of true time. */
final class Events {
  private final PriorityQueue<Event> queue =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
  private long now;
  private long numbers;

  private record Event(long at, long number, Runnable action) {}

  long now() {
    return now;
  }

  void after(long millis, Runnable action) {
    queue.add(new Event(now + Math.max(0, millis), numbers++, action));
  }

  void runFor(long millis) {
    long until = now + millis;
    while (!queue.isEmpty() && queue.peek().at() <= until) {
      Event next = queue.poll();
      now = next.at();
      next.action().run();
    }
    now = until;
  }
}
