package io.cactusspring.standins.worker;

import io.cactusspring.standins.hosts.Amounts;
import java.util.concurrent.TimeUnit;

/**
 * A task that runs or has ended.
 *
 * @param id the task's id
 * @param resources what its start declared
 * @param fails whether it ends as FAILED
 * @param workNanos the work until it ends; 0 for a task that never ends
 * @param usedShare the part of the declared processors and memory that it really uses
 * @param startedNanos when it started
 * @param doneNanos the work done at {@code markNanos}
 * @param markNanos when its speed last changed
 * @param throttled whether it runs at half speed
 * @param leaseEndNanos when its lease lapses
 */
record Task(
    String id,
    Amounts resources,
    boolean fails,
    long workNanos,
    double usedShare,
    long startedNanos,
    long doneNanos,
    long markNanos,
    boolean throttled,
    long leaseEndNanos) {
  private static final int THROTTLED_SLOWDOWN = 2;

  Task withLease(long endNanos) {
    return new Task(
        id,
        resources,
        fails,
        workNanos,
        usedShare,
        startedNanos,
        doneNanos,
        markNanos,
        throttled,
        endNanos);
  }

  /** Returns the task at half speed from now on. */
  Task withThrottle(long nowNanos) {
    return new Task(
        id,
        resources,
        fails,
        workNanos,
        usedShare,
        startedNanos,
        doneAt(nowNanos),
        nowNanos,
        true,
        leaseEndNanos);
  }

  long doneAt(long nowNanos) {
    return doneNanos + (nowNanos - markNanos) / slowdown();
  }

  boolean hasLapsed(long nowNanos) {
    return nowNanos - leaseEndNanos >= 0;
  }

  boolean isDone(long nowNanos) {
    return workNanos > 0 && doneAt(nowNanos) >= workNanos;
  }

  /** Returns when the work ends at its present speed; only for a task that ends. */
  long doneAtNanos() {
    return markNanos + (workNanos - doneNanos) * slowdown();
  }

  long remainingLeaseMillis(long nowNanos) {
    return Math.max(0, TimeUnit.NANOSECONDS.toMillis(leaseEndNanos - nowNanos));
  }

  /** Returns the usage that is known: none until the lag since the start has passed. */
  Amounts usageAt(long nowNanos, long lagNanos) {
    if (nowNanos - startedNanos < lagNanos) {
      return Amounts.NONE;
    }
    return new Amounts(
        (long) (resources.milliProcessors() * usedShare),
        (long) (resources.memoryMib() * usedShare),
        resources.accelerators());
  }

  private int slowdown() {
    return throttled ? THROTTLED_SLOWDOWN : 1;
  }
}
