package io.cactusspring.soak;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Carries out actions in the order of their times. */
final class VirtualTimers implements Timers {
  private record Action(long at, long number, Runnable body) {}

  private final PriorityQueue<Action> actions =
      new PriorityQueue<>(Comparator.comparing(Action::at).thenComparing(Action::number));
  private long now;
  private long number;

  @Override
  public long nowMillis() {
    return now;
  }

  @Override
  public void after(long millis, Runnable action) {
    actions.add(new Action(now + millis, number++, action));
  }

  void pass(long millis) {
    long until = now + millis;
    while (!actions.isEmpty() && actions.peek().at() <= until) {
      Action next = actions.remove();
      now = next.at();
      next.body().run();
    }
    now = until;
  }
}
