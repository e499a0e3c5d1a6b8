package io.cactusspring.standins.worker;

import io.cactusspring.standins.hosts.Resources;
import java.util.concurrent.TimeUnit;

/**
 * A task that runs or has ended.
 *
 * @param id the task's id
 * @param resources what its start declared
 * @param fails whether it ends as FAILED
 * @param workNanos the work until it ends; 0 for a task that never ends
 * @param usageFraction the part of the declared processors and memory that it really uses
 * @param startedNanos when it started
 * @param progressNanos the work done at {@code progressAsOfNanos}
 * @param progressAsOfNanos when its speed last changed
 * @param throttled whether it runs at half speed
 * @param leaseEndNanos when its lease lapses
 */
record Task(
    String id,
    Resources resources,
    boolean fails,
    long workNanos,
    double usageFraction,
    long startedNanos,
    long progressNanos,
    long progressAsOfNanos,
    boolean throttled,
    long leaseEndNanos) {
  private static final int THROTTLED_SLOWDOWN = 2;

  Task withLease(long newLeaseEndNanos) {
    return new Task(
        id,
        resources,
        fails,
        workNanos,
        usageFraction,
        startedNanos,
        progressNanos,
        progressAsOfNanos,
        throttled,
        newLeaseEndNanos);
  }

  /** Returns the task at half speed from now on. */
  Task withThrottle(long nowNanos) {
    return new Task(
        id,
        resources,
        fails,
        workNanos,
        usageFraction,
        startedNanos,
        progressAt(nowNanos),
        nowNanos,
        true,
        leaseEndNanos);
  }

  long progressAt(long nowNanos) {
    return progressNanos + (nowNanos - progressAsOfNanos) / slowdown();
  }

  boolean hasLapsed(long nowNanos) {
    return nowNanos - leaseEndNanos >= 0;
  }

  boolean isDone(long nowNanos) {
    return workNanos > 0 && progressAt(nowNanos) >= workNanos;
  }

  /** Returns when the work ends at its present speed; only for a task that ends. */
  long completionNanos() {
    return progressAsOfNanos + (workNanos - progressNanos) * slowdown();
  }

  long remainingLeaseMillis(long nowNanos) {
    return Math.max(0, TimeUnit.NANOSECONDS.toMillis(leaseEndNanos - nowNanos));
  }

  /** Returns the usage that is known: none until the lag since the start has passed. */
  Resources usageAt(long nowNanos, long lagNanos) {
    if (nowNanos - startedNanos < lagNanos) {
      return Resources.NONE;
    }
    return new Resources(
        (long) (resources.milliProcessors() * usageFraction),
        (long) (resources.memoryMib() * usageFraction),
        resources.accelerators());
  }

  private int slowdown() {
    return throttled ? THROTTLED_SLOWDOWN : 1;
  }
}
