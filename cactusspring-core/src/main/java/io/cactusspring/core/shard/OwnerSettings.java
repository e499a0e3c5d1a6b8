package io.cactusspring.core.shard;

/**
 * Durations of a shard's owner, in milliseconds.
 *
 * @param leaseMillis length of a task's lease
 * @param syncMillis time between two syncs of a worker
 * @param callTimeoutMillis a call is handled by the worker within this time or not at all
 * @param renewAuthorityMillis how long a replaced owner may go on renewing
 * @since 0.1
 */
public record OwnerSettings(
    long leaseMillis, long syncMillis, long callTimeoutMillis, long renewAuthorityMillis) {
  /** Parts in a thousand by which two monotonic clocks may drift apart. */
  private static final long DRIFT_PER_MILLE = 20;

  /** Time after sending a call that grants a lease until that lease has certainly lapsed. */
  public long leaseExpiryBoundMillis() {
    long longest = callTimeoutMillis + leaseMillis;
    return longest + longest * DRIFT_PER_MILLE / 1000 + 1;
  }

  /** Time after reading a claim until a lease renewed by the replaced owner has lapsed. */
  public long takeoverExpiryBoundMillis() {
    return renewAuthorityMillis
        + renewAuthorityMillis * DRIFT_PER_MILLE / 1000
        + leaseExpiryBoundMillis();
  }
}
