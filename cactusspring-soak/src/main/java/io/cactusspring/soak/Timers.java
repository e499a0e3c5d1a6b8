package io.cactusspring.soak;

import io.vertx.core.Vertx;

/** A clock and delayed actions on one thread. */
interface Timers {
  long nowMillis();

  void after(long millis, Runnable action);

  /** Returns timers that run actions on the event loop of the caller. */
  static Timers of(Vertx vertx) {
    return new Timers() {
      @Override
      public long nowMillis() {
        return System.nanoTime() / 1_000_000;
      }

      @Override
      public void after(long millis, Runnable action) {
        vertx.setTimer(Math.max(1, millis), id -> action.run());
      }
    };
  }
}
