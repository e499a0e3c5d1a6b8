package io.cactusspring.processtests;

import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/** Polls until a condition holds. The time limit only stops a test that would otherwise hang. */
final class Await {
  private static final long LIMIT_SECONDS = 60;
  private static final long POLL_MILLIS = 50;

  private Await() {}

  static void until(String what, Callable<Boolean> condition) throws Exception {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_SECONDS);
    while (!condition.call()) {
      if (System.nanoTime() - deadline > 0) {
        throw new AssertionError(what + ": not within " + LIMIT_SECONDS + " s");
      }
      Thread.sleep(POLL_MILLIS);
    }
  }
}
