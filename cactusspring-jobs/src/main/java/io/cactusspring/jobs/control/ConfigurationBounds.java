package io.cactusspring.jobs.control;

/**
 * How old the configuration may be that decisions about requests rest on. Its age counts from when
 * the read was sent that last showed that no later version was stored.
 *
 * @param applyMillis time after its acknowledgement from which a version has to be in force at
 *     every host that can reach the store
 * @param revokeMillis time after its acknowledgement from which a revoked key must not work at any
 *     host
 * @since 0.2
 */
public record ConfigurationBounds(long applyMillis, long revokeMillis) {
  /** Covers the drift of the clock and the time until a decision takes effect. */
  private static final long APPLY_MARGIN_MILLIS = 100;

  /** Also covers the time that a request waits before it is decided. */
  private static final long REVOKE_MARGIN_MILLIS = 800;

  /** Returns the age up to which all decisions may rest on the configuration, in milliseconds. */
  long maxAgeMillis() {
    return Math.min(applyMillis - APPLY_MARGIN_MILLIS, maxKeyAgeMillis());
  }

  /** Returns the age up to which a host that cannot reach the store may accept keys. */
  long maxKeyAgeMillis() {
    return revokeMillis - REVOKE_MARGIN_MILLIS;
  }
}
