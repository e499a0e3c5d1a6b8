package io.cactusspring.jobs.control;

import io.cactusspring.jobs.ledger.LeaseBounds;
import io.cactusspring.jobs.ledger.OwnerRecord;
import io.cactusspring.jobs.schedule.InheritedLeases;
import io.cactusspring.jobs.schedule.SchedulerSettings;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Until when executors may hold leases of earlier owners, as far as this host knows from the
 * ownership partition and from the process that answers at the last owner's address.
 *
 * <p>An owner grants leases for a limited time after its last stored claim or heartbeat, and each
 * of these was stored before the next owner's claim. The last owner's records say how long leases
 * of the owners before may last, and on which executors it has granted none since. Where they do
 * not, as an earlier version wrote them, the owners before count from the last owner's claim.
 */
final class EarlierLeases {
  /** An owner sends two heartbeats at least this far apart, by its own clock. */
  static final long HEARTBEAT_INTERVAL_MILLIS = 200;

  private final SchedulerSettings settings;
  private OwnerRecord newest = OwnerRecord.NONE;

  /** The last owner's claim was stored by then, and the last records of all before it. */
  private long claimStoredBy;

  /** The newest record was stored by then. */
  private long newestStoredBy;

  EarlierLeases(SchedulerSettings settings) {
    this.settings = settings;
  }

  /** Records that a record was read that is newer than all before. */
  void read(OwnerRecord record, long now) {
    long age = record.heartbeat() * HEARTBEAT_INTERVAL_MILLIS;
    long claimStored = now - (long) (age * SchedulerSettings.MIN_CLOCK_RATE);
    claimStoredBy = record.isSameClaim(newest) ? Math.min(claimStoredBy, claimStored) : claimStored;
    newestStoredBy = now;
    newest = record;
  }

  /**
   * Returns when the leases of all owners up to the newest record have lapsed.
   *
   * @param endedAt when the process of the newest record had certainly ended; {@link
   *     Long#MAX_VALUE} if that is not known
   * @param now when a lease may have been granted last if no record is known
   */
  InheritedLeases inherited(long endedAt, long now) {
    if (newest.equals(OwnerRecord.NONE)) {
      return InheritedLeases.until(now + settings.previousOwnerLeaseMillis());
    }
    Map<String, Long> silentLapseAt = afterNewest(LeaseBounds::silentExecutorMillis);
    Map<String, Long> longLapseAt = afterNewest(LeaseBounds::longLeaseMillis);
    long lease = settings.previousOwnerLeaseMillis() - settings.storeGraceMillis();
    long ownLapseAt =
        newestStoredBy + lease + (newest.released() ? 0 : settings.storeGraceMillis());
    long earlierLapseAt =
        newest
            .leases()
            .map(l -> newestStoredBy + l.earlierLeasesMillis())
            .orElse(claimStoredBy + settings.previousOwnerLeaseMillis());
    boolean granted = newest.leases().map(LeaseBounds::granted).orElse(true);
    long lapseAt = granted ? Math.max(earlierLapseAt, ownLapseAt) : earlierLapseAt;
    InheritedLeases inherited =
        new InheritedLeases(lapseAt, silentLapseAt, earlierLapseAt, lease, longLapseAt);
    return endedAt == Long.MAX_VALUE ? inherited : inherited.lastOwnerEnded(endedAt);
  }

  /** Returns the times that the newest record gives as milliseconds after it, by executor id. */
  private Map<String, Long> afterNewest(Function<LeaseBounds, Map<String, Long>> millis) {
    return newest.leases().map(millis).orElse(Map.of()).entrySet().stream()
        .collect(Collectors.toMap(Map.Entry::getKey, e -> newestStoredBy + e.getValue()));
  }
}
