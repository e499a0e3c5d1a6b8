package io.cactusspring.core.membership;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/**
 * Evidence that no claim can have superseded this entry host's ownership of its shards.
 *
 * <p>Evidence is either a read of the platform's log to its end, dated by the time the read was
 * sent, or a promise from every other entry host of the zone, dated by the time the acknowledged
 * heartbeat was sent. All times are in milliseconds of one monotonic clock. Not thread-safe.
 *
 * @since 0.1
 */
public final class Authority {
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final MembershipSettings settings;
  private final Map<String, Long> promisedAtMillis = new TreeMap<>();
  private long logReadAtMillis = NEVER;
  private long evidenceInvalidatedAtMillis = NEVER;

  /**
   * @param zonePeers names of the other entry hosts of the zone
   */
  public Authority(MembershipSettings settings, Collection<String> zonePeers) {
    this.settings = settings;
    zonePeers.forEach(p -> promisedAtMillis.put(p, NEVER));
  }

  /** Records a read of the log to its end that was sent at the given time. */
  public void recordLogRead(long sentAtMillis) {
    logReadAtMillis = Math.max(logReadAtMillis, sentAtMillis);
  }

  /**
   * Records a peer's promise that acknowledges a heartbeat sent at the given time; ignores hosts
   * that are not peers of the zone.
   */
  public void recordPromise(String peer, long heartbeatSentAtMillis) {
    promisedAtMillis.computeIfPresent(peer, (p, at) -> Math.max(at, heartbeatSentAtMillis));
  }

  /**
   * Invalidates all evidence up to now, for example after a worker reported a higher epoch; only a
   * later read of the log restores authority.
   */
  public void invalidateEvidence(long nowMillis) {
    evidenceInvalidatedAtMillis = nowMillis;
  }

  /** Returns whether the evidence is recent enough for an owner to start work. */
  public boolean mayStart(long nowMillis) {
    return nowMillis - evidenceAtMillis() <= settings.authorityMillis();
  }

  /** Returns whether the evidence is recent enough for an owner to renew leases. */
  public boolean mayRenew(long nowMillis) {
    return nowMillis - evidenceAtMillis() <= settings.renewAuthorityMillis();
  }

  /** Returns the time since the last read of the log to its end was sent. */
  public long logAgeMillis(long nowMillis) {
    return nowMillis - logReadAtMillis;
  }

  private long evidenceAtMillis() {
    if (logReadAtMillis <= evidenceInvalidatedAtMillis) {
      return NEVER;
    }
    return Math.max(logReadAtMillis, oldestPromiseMillis());
  }

  private long oldestPromiseMillis() {
    return promisedAtMillis.values().stream().mapToLong(Long::longValue).min().orElse(NEVER);
  }
}
