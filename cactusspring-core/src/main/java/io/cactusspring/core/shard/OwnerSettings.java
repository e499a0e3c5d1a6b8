package io.cactusspring.core.shard;

/**
 * Durations of a shard's owner, in milliseconds.
 *
 * @param leaseMillis length of a task's lease
 * @param syncMillis time between two syncs of a worker
 * @param callTimeoutMillis time after which a worker no longer handles a call
 * @param renewAuthorityMillis time for which a replaced owner may continue to renew leases
 * @since 0.1
 */
public record OwnerSettings(
    long leaseMillis, long syncMillis, long callTimeoutMillis, long renewAuthorityMillis) {
  /** Maximum drift between two monotonic clocks, in parts per thousand. */
  private static final long DRIFT_PER_MILLE = 20;

  /**
   * Returns the longest time from sending a call that grants a lease to the expiry of the lease.
   */
  public long leaseExpiryBoundMillis() {
    long longest = callTimeoutMillis + leaseMillis;
    return longest + longest * DRIFT_PER_MILLE / 1000 + 1;
  }

  /**
   * Returns the longest time from reading a claim to the expiry of a lease that the replaced owner
   * renewed.
   */
  public long takeoverExpiryBoundMillis() {
    return renewAuthorityMillis
        + renewAuthorityMillis * DRIFT_PER_MILLE / 1000
        + leaseExpiryBoundMillis();
  }
}
