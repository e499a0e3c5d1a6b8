package io.cactusspring.benchmarks;

import java.util.PriorityQueue;

/**
 * Virtual clock with a queue of events. Events run in order of time; events with equal times run in
 * the order in which they were scheduled.
 */
final class EventQueue {
  private record Event(long nanos, long sequence, Runnable step) implements Comparable<Event> {
    @Override
    public int compareTo(Event o) {
      int c = Long.compare(nanos, o.nanos);
      return c != 0 ? c : Long.compare(sequence, o.sequence);
    }
  }

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long sequence;
  private long now;

  long now() {
    return now;
  }

  void schedule(long nanos, Runnable step) {
    events.add(new Event(now + nanos, sequence++, step));
  }

  void runAll() {
    while (!events.isEmpty()) {
      Event e = events.poll();
      now = e.nanos();
      e.step().run();
    }
  }
}
