package io.cactusspring.core.membership;

/**
 * Durations that authority and takeover rest on, in milliseconds.
 *
 * @param authorityMillis age up to which evidence allows an owner to start work
 * @param renewAuthorityMillis age up to which evidence allows an owner to renew leases
 * @param takeoverMillis silence after which another host may claim; longer than the authority
 * @since 0.1
 */
public record MembershipSettings(
    long authorityMillis, long renewAuthorityMillis, long takeoverMillis) {
  /**
   * @throws IllegalArgumentException if the takeover time does not exceed the authority
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
