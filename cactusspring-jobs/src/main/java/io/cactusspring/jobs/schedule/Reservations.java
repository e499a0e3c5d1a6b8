package io.cactusspring.jobs.schedule;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.Queue;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Keeps the executors that are expected to be free first for gangs that wait, as in conservative
 * backfilling: work that ranks lower may use them only if it is expected to end before, or if it
 * fits beside the gang.
 *
 * <p>Without that, small tasks take whatever becomes free, and a task that needs most of an
 * executor starts only once nothing small waits. They are computed anew while a gang waits, so a
 * takeover has none to restore, and one whose gang has started or ended is gone in the next round.
 */
final class Reservations {
  /** An expected end is known no better than this. */
  private static final long REFRESH_MILLIS = 100;

  /** More gangs would reserve a service for longer than ends can be predicted. */
  private static final int MAX_GANGS = 6;

  /**
   * Below this share of the scarce resource in use, accepted work must not wait for long while
   * there is room for it.
   */
  private static final double MIN_USED_SHARE = 0.6;

  /** An executor that is expected to be free later than this is not kept idle for it. */
  private static final long MAX_AHEAD_MILLIS = 10_000;

  /** Narrower members find room between others; this is a share of the largest executor. */
  private static final double MIN_WIDTH = 0.4;

  /**
   * Room that is kept on one executor.
   *
   * @param needed the room
   * @param at when the executor is expected to have it
   */
  record Reservation(LiveExecutor executor, Resources needed, long at) {}

  private record Plan(List<Reservation> reservations, long madeAt) {
    private static final Plan NONE = new Plan(List.of(), Long.MIN_VALUE / 2);
  }

  private final OwnerState state;
  private final Map<LiveStep, Plan> plans = new IdentityHashMap<>();
  private final Map<LiveExecutor, List<Reservation>> active = new IdentityHashMap<>();
  private final Set<LiveStep> seen = new HashSet<>();
  private int gangs;

  Reservations(OwnerState state) {
    this.state = state;
  }

  /** Starts a round of placement, in which steps are placed in the order of their ranks. */
  void beginRound() {
    active.clear();
    gangs = 0;
    seen.clear();
    plans
        .entrySet()
        .removeIf(
            e -> (e.getKey().job().isFinal() || !e.getKey().hasWaiting()) && release(e.getValue()));
  }

  /** Ends the reservations of a gang, which has started or waits for something else. */
  void end(LiveStep gang) {
    Plan plan = plans.remove(gang);
    if (plan != null) {
      release(plan);
    }
  }

  /** Ends a round: executors that are no longer kept can take tasks that were held back. */
  void endRound() {
    plans.entrySet().removeIf(e -> !seen.contains(e.getKey()) && release(e.getValue()));
  }

  private boolean release(Plan plan) {
    plan.reservations.forEach(r -> state.gainedCapacity(r.executor));
    return true;
  }

  /** Returns whether executors are kept for a gang while it waits: its members are wide. */
  boolean areMadeFor(LiveStep gang) {
    Resources largest = state.largestExecutor(state.queue(gang.job()).service());
    return state.uses(Mechanism.RESERVATIONS)
        && gang.spec().committed().dominantShareOf(largest) >= MIN_WIDTH;
  }

  /**
   * Keeps executors for a gang that could not be placed in this round.
   *
   * @return the reservations; empty if none are made for it
   */
  List<Reservation> reserve(LiveStep gang, long now) {
    Plan before = plans.getOrDefault(gang, Plan.NONE);
    boolean recent = now - before.madeAt < REFRESH_MILLIS;
    Plan plan = recent ? before : newPlan(gang, now);
    gangs += plan.reservations.isEmpty() ? 0 : 1;
    seen.add(gang);
    plans.put(gang, plan);
    releaseMoved(before, plan);
    plan.reservations.forEach(
        r -> active.computeIfAbsent(r.executor, e -> new ArrayList<>()).add(r));
    return plan.reservations;
  }

  private Plan newPlan(LiveStep gang, long now) {
    Queue queue = state.queue(gang.job());
    boolean needed = areMadeFor(gang) && gangs < MAX_GANGS && isBusy(queue.service(), now);
    return needed ? plan(gang, queue, now) : new Plan(List.of(), now);
  }

  /** Returns whether so much of a service is in use that a gang has to wait for others to end. */
  boolean isBusy(String service, long now) {
    ResourceKind kind = state.scarceResource(service, now);
    double used =
        state.executors.values().stream()
            .filter(e -> e.isUsable(now) && e.info().service().equals(service))
            .mapToDouble(e -> kind.of(e.used()))
            .sum();
    return used >= MIN_USED_SHARE * kind.of(state.capacity(service));
  }

  /** Lets tasks search again for room that a changed plan leaves to them. */
  private void releaseMoved(Plan before, Plan after) {
    for (Reservation old : before.reservations) {
      boolean kept =
          after.reservations.stream().anyMatch(r -> r.executor == old.executor && r.at <= old.at);
      if (!kept) {
        state.gainedCapacity(old.executor);
      }
    }
  }

  private Plan plan(LiveStep gang, Queue queue, long now) {
    List<LiveExecutor> suitable =
        state.executors.values().stream()
            .filter(e -> e.isUsable(now) && Placement.mayRun(e, gang, queue, 0))
            .filter(e -> !queue.needsAdvice() || gang.tickets().isAllowed(e))
            .toList();
    Map<LiveExecutor, Integer> members = new HashMap<>();
    List<Reservation> chosen = new ArrayList<>();
    for (int i = 0; i < gang.tasks().size(); i++) {
      Optional<Reservation> next =
          suitable.stream()
              .flatMap(e -> reservation(gang, queue, e, members.getOrDefault(e, 0), now).stream())
              .min(Comparator.comparingLong(Reservation::at).thenComparing(r -> r.executor.id()));
      if (next.isEmpty()) {
        return new Plan(List.of(), now);
      }
      members.merge(next.get().executor, 1, Integer::sum);
      chosen.add(next.get());
    }
    long all = chosen.stream().mapToLong(Reservation::at).max().orElse(now);
    if (all > now + MAX_AHEAD_MILLIS) {
      return new Plan(List.of(), now);
    }
    return new Plan(
        chosen.stream().map(r -> new Reservation(r.executor, r.needed, all)).toList(), now);
  }

  /** Returns the reservation of an executor for one more member, if it can ever have the room. */
  private Optional<Reservation> reservation(
      LiveStep gang, Queue queue, LiveExecutor executor, int members, long now) {
    Resources one = gang.spec().committed();
    // What does not fit at all may be too large to be added up.
    if (!one.fitsIn(executor.info().capacity())
        || !Placement.mayRun(executor, gang, queue, members)) {
      return Optional.empty();
    }
    Resources needed = one.times(members + 1).plus(reservedOn(executor));
    if (!needed.fitsIn(executor.info().capacity())) {
      return Optional.empty();
    }
    return Optional.of(new Reservation(executor, one, freeAt(executor, needed, now)));
  }

  private Resources reservedOn(LiveExecutor executor) {
    return active.getOrDefault(executor, List.of()).stream()
        .map(Reservation::needed)
        .reduce(Resources.NONE, Resources::plus);
  }

  /** Returns when an executor is expected to have room, if nothing else is started on it. */
  private long freeAt(LiveExecutor executor, Resources needed, long now) {
    if (needed.fitsIn(executor.free())) {
      return now;
    }
    List<Run> byEnd =
        executor.runs().stream()
            .sorted(Comparator.comparingLong((Run r) -> expectedEnd(r, executor, now)))
            .toList();
    Resources ended = Resources.NONE;
    for (Run run : byEnd) {
      ended = ended.plus(run.committed());
      if (needed.fitsIn(executor.freeWithout(ended))) {
        return expectedEnd(run, executor, now);
      }
    }
    return Long.MAX_VALUE / 2;
  }

  private long expectedEnd(Run run, LiveExecutor executor, long now) {
    if (run.spec().longRunning()) {
      return Long.MAX_VALUE / 2;
    }
    LiveTask task = state.task(run.key().task());
    double expected =
        task == null || run.stopping()
            ? 0
            : state.durations.expectedMillis(state.queue(task.step().job()).name(), run.spec());
    return run.expectedEnd(expected * state.durations.factor(executor), now);
  }

  /**
   * Returns whether a task may be placed on an executor in spite of the reservations that were made
   * for steps before it in this round.
   *
   * @param planned further tasks of the same step that are planned there
   */
  boolean admits(LiveExecutor executor, LiveStep step, int planned, long now) {
    List<Reservation> kept = active.getOrDefault(executor, List.of());
    if (kept.isEmpty()) {
      return true;
    }
    long at = kept.stream().mapToLong(Reservation::at).min().orElse(now);
    if (!step.spec().longRunning() && now + expectedMillis(step, executor) <= at) {
      return true;
    }
    Resources endedByThen =
        executor.runs().stream()
            .filter(r -> expectedEnd(r, executor, now) <= at)
            .map(Run::committed)
            .reduce(Resources.NONE, Resources::plus);
    return step.spec()
        .committed()
        .times(planned + 1)
        .plus(reservedOn(executor))
        .fitsIn(executor.freeWithout(endedByThen));
  }

  private long expectedMillis(LiveStep step, LiveExecutor executor) {
    double millis =
        state.durations.expectedMillis(state.queue(step.job()).name(), step.spec())
            * state.durations.factor(executor);
    return Math.round(millis);
  }
}
