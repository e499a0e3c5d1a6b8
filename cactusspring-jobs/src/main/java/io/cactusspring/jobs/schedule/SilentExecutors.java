package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.ledger.LeaseBounds;
import java.util.Comparator;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * The executors with runs that do not answer, on which a later owner need not wait for leases that
 * this owner might have granted.
 */
final class SilentExecutors {
  /** Time from the begin of the term in which an executor that can be reached answers. */
  private static final long FIRST_ANSWER_MILLIS = 150;

  /** Longer than until the call that follows a failed one is answered. */
  private static final long SILENCE_MILLIS = 400;

  // Bounds the size of the owner's record, which is written several times a second.
  private static final int MAX_EXECUTORS = 64;

  private final OwnerState state;
  private InheritedLeases inherited;
  private final long begunAt;

  SilentExecutors(OwnerState state, InheritedLeases inherited, long begunAt) {
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
    return new LeaseBounds(true, InheritedLeases.remaining(inherited.lapseAt(), now), silent);
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
