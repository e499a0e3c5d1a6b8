package io.cactusspring.jobs.simulation;

import io.cactusspring.jobs.port.Timers;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A virtual clock that advances from event to event and runs the events in the order of their
 * times.
 */
public final class VirtualTime {
  private record Event(long at, long sequence, Runnable task) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::sequence));
  private long now = 1_000;
  private long sequence;

  public long now() {
    return now;
  }

  /** Schedules a task; tasks that are due at the same time run in the order of their scheduling. */
  public void after(long millis, Runnable task) {
    events.add(new Event(now + Math.max(0, millis), sequence++, task));
  }

  /** Advances the clock by a number of milliseconds and runs all tasks that become due. */
  public void run(long millis) {
    long end = now + millis;
    while (!events.isEmpty() && events.peek().at() <= end) {
      Event event = events.remove();
      now = Math.max(now, event.at());
      event.task().run();
    }
    now = end;
  }

  /** Returns timers of this clock; their wall-clock time is the virtual time as well. */
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
