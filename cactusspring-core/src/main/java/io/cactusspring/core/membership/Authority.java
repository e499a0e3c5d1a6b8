package io.cactusspring.core.membership;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/**
 * Evidence that no claim can have superseded the shards that this entry host owns.
 *
 * <p>Evidence is either a read of the platform's log to its end, dated by the moment the read was
 * sent, or a promise from every other entry host of the zone, dated by the moment the acknowledged
 * heartbeat was sent. Not thread-safe.
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

  /** Notes a read of the log to its end that was sent at the given time. */
  public void logRead(long sentAtMillis) {
    logReadAtMillis = Math.max(logReadAtMillis, sentAtMillis);
  }

  /** Notes a peer's promise that acknowledges a heartbeat sent at the given time. */
  public void promised(String peer, long heartbeatSentAtMillis) {
    promisedAtMillis.computeIfPresent(peer, (p, at) -> Math.max(at, heartbeatSentAtMillis));
  }

  /**
   * Discards all evidence up to now, for example after a worker reported a higher epoch; only a
   * later read of the log restores authority.
   */
  public void distrust(long nowMillis) {
    evidenceInvalidatedAtMillis = nowMillis;
  }

  /** Returns whether an owner may start work. */
  public boolean mayStart(long nowMillis) {
    return nowMillis - evidenceAtMillis() <= settings.authorityMillis();
  }

  /** Returns whether an owner may renew leases. */
  public boolean mayRenew(long nowMillis) {
    return nowMillis - evidenceAtMillis() <= settings.renewAuthorityMillis();
  }

  /** Age of the last read of the log to its end. */
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
