package io.cactusspring.core.membership;

/**
 * Durations that determine authority and takeover, in milliseconds.
 *
 * @param authorityMillis maximum age of evidence that allows an owner to start work
 * @param renewAuthorityMillis maximum age of evidence that allows an owner to renew leases; at
 *     least {@code authorityMillis}
 * @param takeoverMillis time without a heartbeat after which another host may claim a shard;
 *     greater than {@code authorityMillis}
 * @since 0.1
 */
public record MembershipSettings(
    long authorityMillis, long renewAuthorityMillis, long takeoverMillis) {
  /**
   * @throws IllegalArgumentException if {@code takeoverMillis} is not greater than {@code
   *     authorityMillis}, or {@code renewAuthorityMillis} is less than it
   */
  public MembershipSettings {
    if (takeoverMillis <= authorityMillis) {
      throw new IllegalArgumentException(
          "takeoverMillis is "
              + takeoverMillis
              + "; expected more than authorityMillis, "
              + authorityMillis);
    }
    if (renewAuthorityMillis < authorityMillis) {
      throw new IllegalArgumentException(
          "renewAuthorityMillis is "
              + renewAuthorityMillis
              + "; expected at least authorityMillis, "
              + authorityMillis);
    }
  }
}
