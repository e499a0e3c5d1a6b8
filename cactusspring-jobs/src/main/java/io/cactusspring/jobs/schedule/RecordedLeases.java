package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.ledger.LeaseBounds;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * What a later owner has to know of the leases on single executors: on which of them it need not
 * wait for leases that this owner might have granted, as they have runs and do not answer, and
 * which may have taken longer leases than owners grant.
 */
final class RecordedLeases {
  /** Time from the begin of the term in which an executor that can be reached answers. */
  private static final long FIRST_ANSWER_MILLIS = 150;

  /** Longer than until the call that follows a failed one is answered. */
  private static final long SILENCE_MILLIS = 400;

  // Bounds the size of the owner's record, which is written several times a second.
  private static final int MAX_EXECUTORS = 64;

  private final OwnerState state;
  private InheritedLeases inherited;
  private final long begunAt;

  RecordedLeases(OwnerState state, InheritedLeases inherited, long begunAt) {
    this.state = state;
    this.inherited = inherited;
    this.begunAt = begunAt;
  }

  /** Records that leases of earlier owners lapse sooner than was known. */
  void inherit(InheritedLeases leases) {
    inherited = leases;
  }

  /** Returns what the owner has to record before it grants any lease to other executors. */
  LeaseBounds bounds(long now) {
    Map<String, Long> silent =
        state.executors.values().stream()
            .filter(e -> isSilent(e, now))
            .sorted(Comparator.comparing(LiveExecutor::id))
            .limit(MAX_EXECUTORS)
            .collect(Collectors.toMap(LiveExecutor::id, e -> remaining(e, now)));
    long earlier = InheritedLeases.remaining(inherited.lapseAt(), now);
    Map<String, Long> longLeases = longLeases(now);
    if (longLeases.size() <= MAX_EXECUTORS) {
      return new LeaseBounds(true, earlier, silent, longLeases);
    }
    long longest = Collections.max(longLeases.values());
    return new LeaseBounds(true, Math.max(earlier, longest), silent);
  }

  private Map<String, Long> longLeases(long now) {
    Map<String, Long> millis = new HashMap<>(inherited.longLeaseMillis(now));
    state.executors.values().stream()
        .filter(e -> longLeaseMillis(e, now) > 0)
        .forEach(e -> millis.merge(e.id(), longLeaseMillis(e, now), Math::max));
    return millis;
  }

  /**
   * Returns how long the lease on an executor may last if that is longer than a later owner expects
   * of any; 0 if not.
   */
  long longLeaseMillis(String id, long now) {
    LiveExecutor executor = state.executors.get(id);
    return executor == null ? 0 : longLeaseMillis(executor, now);
  }

  private long longLeaseMillis(LiveExecutor executor, long now) {
    long usual = Math.round(state.settings.leaseMillis() / SchedulerSettings.MIN_CLOCK_RATE);
    long expected = Math.max(usual, InheritedLeases.remaining(inherited.lapseAt(), now));
    long millis = executor.lease().longLapsesAt() - now;
    return millis > expected ? millis : 0;
  }

  /** Returns whether an executor has runs and does not answer. */
  boolean contains(String id, long now) {
    LiveExecutor executor = state.executors.get(id);
    return executor != null && isSilent(executor, now);
  }

  private boolean isSilent(LiveExecutor executor, long now) {
    if (executor.runs().isEmpty()) {
      return false;
    }
    if (!executor.hasClock()) {
      return inherited.isSilent(executor.id()) || now - begunAt >= FIRST_ANSWER_MILLIS;
    }
    return executor.isSilent() && now - executor.silentSince() >= SILENCE_MILLIS;
  }

  private long remaining(LiveExecutor executor, long now) {
    long lapseAt = Math.max(executor.leaseLapsesAt(), inherited.lapseAt(executor.id()));
    return InheritedLeases.remaining(lapseAt, now);
  }
}
