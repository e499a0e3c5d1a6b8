package io.cactusspring.standins.worker;

import io.cactusspring.standins.hosts.Resources;
import java.util.concurrent.TimeUnit;

/**
 * An immutable snapshot of a running task. All times are on the monotonic clock.
 *
 * @param id the task id
 * @param resources the declared resources
 * @param fails whether the task ends as FAILED
 * @param workNanos the total work at full speed; 0 for a task that never completes
 * @param usageFraction the fraction of the declared processors and memory that is used
 * @param startedNanos the start time
 * @param progressNanos the work completed at {@code progressAsOfNanos}
 * @param progressAsOfNanos the time of the start or of the last change of speed
 * @param throttled whether the task runs at half speed
 * @param leaseEndNanos the time at which the lease lapses
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

  /** Returns the task running at half speed from {@code nowNanos} on. */
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

  /** Returns the completion time at the current speed; undefined if {@code workNanos} is 0. */
  long completionNanos() {
    return progressAsOfNanos + (workNanos - progressNanos) * slowdown();
  }

  long remainingLeaseMillis(long nowNanos) {
    return Math.max(0, TimeUnit.NANOSECONDS.toMillis(leaseEndNanos - nowNanos));
  }

  /** Returns the reported usage, which is none until {@code lagNanos} after the start. */
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
