package io.cactusspring.jobs.simulation;

import io.cactusspring.jobs.port.Timers;
import java.util.Comparator;
import java.util.PriorityQueue;

/** A clock that jumps from event to event. */
public final class VirtualTime {
  private record Event(long at, long sequence, Runnable task) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::sequence));
  private long now = 1_000;
  private long sequence;

  public long now() {
    return now;
  }

  public void after(long millis, Runnable task) {
    events.add(new Event(now + Math.max(0, millis), sequence++, task));
  }

  /** Runs everything that is due until a number of milliseconds has passed. */
  public void run(long millis) {
    long end = now + millis;
    while (!events.isEmpty() && events.peek().at() <= end) {
      Event event = events.remove();
      now = Math.max(now, event.at());
      event.task().run();
    }
    now = end;
  }

  /** Returns timers that run on this time, which is the time of day as well. */
  public Timers timers() {
    return new Timers() {
      @Override
      public long nowMillis() {
        return now;
      }

      @Override
      public long wallMillis() {
        return now;
      }

      @Override
      public void after(long millis, Runnable task) {
        VirtualTime.this.after(millis, task);
      }
    };
  }
}
