package io.cactusspring.jobs.schedule;

import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Gives late steps that have waited for long a small share of each service, so that an accepted job
 * starts however long others rank before it.
 *
 * <p>One waiting step of a service at a time is promoted: it is placed before all finite ones. The
 * oldest comes first; a step that finds no executor in its turn lets the next one try.
 */
final class AgedSteps {
  /** Above the useful time of quick jobs, so that only what has lost its rank is promoted. */
  static final long AGED_AFTER_MILLIS = 20_000;

  /** Share of a service that promoted steps use together, unless a single one is larger. */
  static final double MAX_SHARE = 0.05;

  /** Several advice calls, and the ends of several tasks, fit into one turn. */
  static final long TURN_MILLIS = 5_000;

  private final OwnerState state;

  /** When the unfinished steps that were promoted last got their turn. */
  private final Map<LiveStep, Long> turns = new IdentityHashMap<>();

  private final Map<String, LiveStep> promotedByService = new HashMap<>();
  private long updatedAt = Long.MIN_VALUE / 2;

  AgedSteps(OwnerState state) {
    this.state = state;
  }

  /**
   * Decides which steps are promoted, unless that was done recently.
   *
   * @param isLate whether the job of a step cannot be in time any more
   * @return whether a decision was made
   */
  boolean update(List<LiveStep> waiting, Predicate<LiveStep> isLate, long now) {
    boolean off = !state.uses(Mechanism.AGED_STEPS);
    if (off || now - updatedAt < ShortageMonitor.PLAN_INTERVAL_MILLIS) {
      return false;
    }
    updatedAt = now;
    turns.keySet().removeIf(s -> s.isDone() || s.job().isFinal());
    promotedByService.values().removeIf(s -> !hasTurn(s, now));
    waiting.stream()
        .filter(s -> isAged(s, now) && isLate.test(s))
        .collect(Collectors.groupingBy(this::service))
        .forEach((service, aged) -> promoteNext(service, aged, now));
    return true;
  }

  private boolean hasTurn(LiveStep step, long now) {
    return step.hasWaiting() && turns.containsKey(step) && now - turns.get(step) < TURN_MILLIS;
  }

  private boolean isAged(LiveStep step, long now) {
    int together = step.spec().gang() ? step.tasks().size() : 1;
    return !step.spec().longRunning()
        && now - waitsSince(step) >= AGED_AFTER_MILLIS
        && state.withinLimit(step, together);
  }

  /**
   * Returns the age of the job, which a takeover does not change, if the step was due from then.
   */
  private static long waitsSince(LiveStep step) {
    LiveJob job = step.job();
    return job.spec().repetitions() == 0 ? job.submittedAt() : step.readySince();
  }

  private String service(LiveStep step) {
    return state.queue(step.job()).service();
  }

  private void promoteNext(String service, List<LiveStep> aged, long now) {
    if (promotedByService.containsKey(service)) {
      return;
    }
    LiveStep next =
        aged.stream()
            .min(
                Comparator.comparingLong((LiveStep s) -> turns.getOrDefault(s, Long.MIN_VALUE))
                    .thenComparingLong(AgedSteps::waitsSince))
            .orElseThrow();
    if (fitsInShare(next, service, now)) {
      turns.put(next, now);
      promotedByService.put(service, next);
    }
  }

  private boolean fitsInShare(LiveStep next, String service, long now) {
    ResourceKind kind = state.scarceResource(service, now);
    double used =
        turns.keySet().stream()
            .filter(s -> service(s).equals(service))
            .mapToDouble(s -> s.runningTasks() * kind.of(s.spec().committed()))
            .sum();
    double needed = next.waitingTasks() * kind.of(next.spec().committed());
    return used == 0 || used + needed <= MAX_SHARE * kind.of(state.capacity(service));
  }

  /** Returns whether a step is placed before all other finite ones. */
  boolean isPromoted(LiveStep step) {
    return promotedByService.containsValue(step);
  }
}
