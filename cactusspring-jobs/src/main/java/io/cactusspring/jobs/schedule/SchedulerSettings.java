package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.port.StoreLimits;
import java.util.Set;

/**
 * Timeouts of the owner, in milliseconds.
 *
 * @param leaseMillis how long an executor may run tasks without a renewal by the owner
 * @param maxLeaseMillis longest lease that executors accept; they shorten longer ones to it
 * @param storeGraceMillis how long an owner renews leases while the store is unavailable
 * @param stopMillis longest time that a stop takes
 * @param drainMillis how long an executor keeps running after it announced to drain, if the
 *     announcement does not contain the time
 * @param unreachableMillis time without an answer after which an executor gets no new tasks
 * @param evacuateMillis time after the write of a zone's evacuation from which no task may start in
 *     the zone; 0 if there is no such bound
 * @param maxZoneAgeMillis age of the last read of the operators' records above which no zone is
 *     known to be in use; 0 if there is no such bound
 * @param maxBegunTasks number of tasks of one job that may have begun without being done, so that
 *     the store can hold the record of its progress
 * @param disabled parts of the policy that are switched off
 * @since 0.2
 */
public record SchedulerSettings(
    long leaseMillis,
    long maxLeaseMillis,
    long storeGraceMillis,
    long stopMillis,
    long drainMillis,
    long unreachableMillis,
    long evacuateMillis,
    long maxZoneAgeMillis,
    int maxBegunTasks,
    Set<Mechanism> disabled) {
  /** Lowest assumed rate of an executor's clock, relative to the clock of this host. */
  public static final double MIN_CLOCK_RATE = 0.98;

  /** How many fencing tokens an owner may use, from the number of its term on. */
  public static final int TOKENS_PER_TERM = 1 << 10;

  /**
   * What a task that has begun takes in the progress record at most, with the id of its executor
   * and its checkpoint, and a share for the tasks that are done.
   */
  private static final int MAX_TASK_BYTES = 128;

  public SchedulerSettings {
    disabled = Set.copyOf(disabled);
  }

  /** Returns whether a part of the policy is in use. */
  public boolean uses(Mechanism mechanism) {
    return !disabled.contains(mechanism);
  }

  /**
   * Returns for how many milliseconds after a claim an executor may still hold a lease of the
   * previous owner, which grants leases of the same length.
   */
  public long previousOwnerLeaseMillis() {
    return storeGraceMillis + Math.round(leaseMillis / MIN_CLOCK_RATE);
  }

  /** Returns a builder with the defaults. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds {@link SchedulerSettings}. */
  public static final class Builder {
    // Twice the duration of a takeover after a crash of the owner (about 3 s).
    private long leaseMillis = 6_000;
    private long maxLeaseMillis = 10_000;
    // The store may be unavailable for up to 4.5 s. A new owner has to wait for as long as this.
    private long storeGraceMillis = 5_000;
    private long stopMillis = 400;
    private long drainMillis = 2_000;
    // Two consecutive lease renewals without an answer.
    private long unreachableMillis = 1_200;
    private long evacuateMillis;
    private long maxZoneAgeMillis;
    private int maxBegunTasks = StoreLimits.DEFAULT.recordBytes() / MAX_TASK_BYTES;
    private Set<Mechanism> disabled = Set.of();

    private Builder() {}

    /** Sets the longest lease that executors accept, which limits the lease. */
    public Builder maxLeaseMillis(long value) {
      leaseMillis = Math.min(leaseMillis, value);
      maxLeaseMillis = value;
      return this;
    }

    public Builder storeGraceMillis(long value) {
      storeGraceMillis = value;
      return this;
    }

    public Builder stopMillis(long value) {
      stopMillis = value;
      return this;
    }

    public Builder drainMillis(long value) {
      drainMillis = value;
      return this;
    }

    /**
     * Sets the time within which an evacuation has to take effect. Half of it is left for reading
     * the record, the other half for starts that are under way, unless {@link #maxZoneAgeMillis} is
     * set.
     */
    public Builder evacuateMillis(long value) {
      evacuateMillis = value;
      return this;
    }

    /**
     * Sets the age of the operators' records above which no zone is known to be in use. It has no
     * effect without {@link #evacuateMillis}.
     */
    public Builder maxZoneAgeMillis(long value) {
      maxZoneAgeMillis = value;
      return this;
    }

    /** Limits the progress record of a job to a number of bytes. */
    public Builder maxRecordBytes(int value) {
      maxBegunTasks = Math.max(1, value / MAX_TASK_BYTES);
      return this;
    }

    /** Switches parts of the policy off. */
    public Builder disabled(Set<Mechanism> value) {
      disabled = value;
      return this;
    }

    public SchedulerSettings build() {
      return new SchedulerSettings(
          leaseMillis,
          maxLeaseMillis,
          storeGraceMillis,
          stopMillis,
          drainMillis,
          unreachableMillis,
          evacuateMillis,
          maxZoneAgeMillis > 0 ? Math.min(maxZoneAgeMillis, evacuateMillis) : evacuateMillis / 2,
          maxBegunTasks,
          disabled);
    }
  }
}
