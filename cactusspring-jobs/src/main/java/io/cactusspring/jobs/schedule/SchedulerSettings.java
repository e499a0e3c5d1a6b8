package io.cactusspring.jobs.schedule;

/**
 * Times and bounds of the owner, all in milliseconds.
 *
 * @param leaseMillis how long an executor may go on without a word from the owner
 * @param storeGraceMillis how long an owner goes on without the store
 * @param stopMillis longest time that a stop takes
 * @param drainMillis how long an executor goes on after it announced to drain, if it does not say
 * @param unreachableMillis silence after which an executor gets no new tasks
 * @since 0.2
 */
public record SchedulerSettings(
    long leaseMillis,
    long storeGraceMillis,
    long stopMillis,
    long drainMillis,
    long unreachableMillis) {
  /** An executor's clock may run this much slower than ours. */
  static final double MIN_CLOCK_RATE = 0.98;

  /**
   * Returns how long after a claim an executor may still run under the owner before, which grants
   * leases of the same length.
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
    // Covers a takeover after a crash of the owner (about 3 s) twice.
    private long leaseMillis = 6_000;
    // Outages of the store that were announced last up to 4.5 s; a new owner has to wait as long.
    private long storeGraceMillis = 5_000;
    private long stopMillis = 400;
    private long drainMillis = 2_000;
    // Two answers missed in a row at the pace of the hold calls.
    private long unreachableMillis = 1_200;

    private Builder() {}

    /** Bounds the lease by the longest that executors grant. */
    public Builder maxLeaseMillis(long value) {
      leaseMillis = Math.min(leaseMillis, value);
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

    public SchedulerSettings build() {
      return new SchedulerSettings(
          leaseMillis, storeGraceMillis, stopMillis, drainMillis, unreachableMillis);
    }
  }
}
