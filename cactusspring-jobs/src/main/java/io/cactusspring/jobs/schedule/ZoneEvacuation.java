package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.model.ZoneStates;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides in which availability zones tasks may be started.
 *
 * <p>Nothing is started in an evacuated zone. After a zone is returned to use, its executors are
 * admitted a few at a time, so that waiting work does not start on all of them at once. Where an
 * evacuation has to take effect within a bound, nothing is started in any zone while the records of
 * the operators were last read too long ago, and a start expires at the executor before the bound.
 */
final class ZoneEvacuation {
  /** Interval between two groups of executors that are admitted after a return to use. */
  static final long RETURN_INTERVAL_MILLIS = 100;

  /** Share of a zone's executors that is admitted in one interval. */
  private static final int RETURN_GROUPS = 10;

  /**
   * A new owner admits executors gradually if their zone was returned less than this time ago. The
   * previous owner needs up to this time to admit all of them.
   */
  private static final long RETURN_MILLIS = 2 * RETURN_GROUPS * RETURN_INTERVAL_MILLIS;

  // Differences to any time of the monotonic clock do not overflow.
  private static final long NEVER = Long.MIN_VALUE / 2;

  /** A zone whose executors are admitted gradually. */
  private static final class Return {
    private final long returnedAt;
    private final Set<String> admitted = new HashSet<>();
    private long nextAt = NEVER;

    Return(long returnedAt) {
      this.returnedAt = returnedAt;
    }

    /** Returns the executors of the zone to admit now. */
    List<LiveExecutor> admit(List<LiveExecutor> ofZone, long now) {
      if (now < nextAt) {
        return List.of();
      }
      int groupSize = Math.max(1, ofZone.size() / RETURN_GROUPS);
      // Fewer than ten executors are admitted one by one, at longer intervals.
      long interval =
          Math.max(
              RETURN_INTERVAL_MILLIS,
              Math.ceilDiv(RETURN_GROUPS * RETURN_INTERVAL_MILLIS, Math.max(1, ofZone.size())));
      List<LiveExecutor> group =
          ofZone.stream().filter(e -> !admitted.contains(e.id())).limit(groupSize).toList();
      if (!group.isEmpty()) {
        nextAt = now + interval;
        group.forEach(e -> admitted.add(e.id()));
      }
      return group;
    }

    boolean isOver(List<LiveExecutor> ofZone, long now) {
      return now - returnedAt >= RETURN_MILLIS
          && ofZone.stream().allMatch(e -> admitted.contains(e.id()));
    }
  }

  private final long evacuateMillis;
  private final long maxAgeMillis;
  private final Map<String, Return> returns = new HashMap<>();
  private Set<String> evacuated = Set.of();
  private long confirmedAt = NEVER;

  ZoneEvacuation(SchedulerSettings settings) {
    evacuateMillis = settings.evacuateMillis();
    maxAgeMillis = settings.maxZoneAgeMillis();
  }

  /** Applies the newest states of the zones. */
  void update(ZoneStates states, long now) {
    Set<String> before = evacuated;
    evacuated = states.evacuated();
    returns.keySet().removeAll(evacuated);
    states
        .returnedAt()
        .forEach(
            (zone, at) -> {
              if (before.contains(zone) || now - at < RETURN_MILLIS) {
                returns.putIfAbsent(zone, new Return(at));
              }
            });
  }

  /** Records when the last completed read of the operators' records was sent. */
  void confirmed(long when) {
    confirmedAt = when;
  }

  boolean isEvacuated(String zone) {
    return evacuated.contains(zone);
  }

  boolean hasEvacuated() {
    return !evacuated.isEmpty();
  }

  /** Returns whether the operators' records were read recently enough to decide on starts. */
  boolean isConfirmed(long now) {
    return maxAgeMillis == 0 || now - confirmedAt <= maxAgeMillis;
  }

  /** Returns whether a zone is known to be in use. Executors without a zone always are. */
  boolean isInUse(String zone, long now) {
    return zone.isEmpty() || (!evacuated.contains(zone) && isConfirmed(now));
  }

  /** Returns whether new tasks may be placed on an executor of a zone. */
  boolean admits(String executor, String zone, long now) {
    Return returning = returns.get(zone);
    return isInUse(zone, now) && (returning == null || returning.admitted.contains(executor));
  }

  /**
   * Admits executors of the zones that were returned to use.
   *
   * @return the executors that are admitted now
   */
  List<LiveExecutor> admitReturning(Collection<LiveExecutor> executors, long now) {
    if (returns.isEmpty()) {
      return List.of();
    }
    List<LiveExecutor> admitted = new ArrayList<>();
    for (Iterator<Map.Entry<String, Return>> i = returns.entrySet().iterator(); i.hasNext(); ) {
      Map.Entry<String, Return> entry = i.next();
      List<LiveExecutor> ofZone =
          executors.stream()
              .filter(e -> e.listed() && e.info().zone().equals(entry.getKey()))
              .toList();
      admitted.addAll(entry.getValue().admit(ofZone, now));
      if (entry.getValue().isOver(ofZone, now)) {
        i.remove();
      }
    }
    return admitted;
  }

  /**
   * Returns the longest lease that a start may carry. An executor refuses a start after the lease,
   * so that a start which the network delays is not carried out after the bound.
   */
  long startLeaseMillis(String zone, long leaseMillis, long now) {
    if (evacuateMillis == 0 || zone.isEmpty()) {
      return leaseMillis;
    }
    // The lease ends on the clock of the executor, which may be slow.
    double left = (confirmedAt + evacuateMillis - now) * SchedulerSettings.MIN_CLOCK_RATE;
    return Math.min(leaseMillis, (long) left);
  }
}
