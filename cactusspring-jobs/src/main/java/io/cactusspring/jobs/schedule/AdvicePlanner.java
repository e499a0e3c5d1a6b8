package io.cactusspring.jobs.schedule;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.AdviceSettings;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.schedule.DecisionListener.Kind;
import io.cactusspring.jobs.schedule.Reservations.Reservation;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Stream;

/**
 * Selects the executors that an advice call names.
 *
 * <p>A call takes longer with each executor that it names, and only a share of them is allowed. The
 * planner therefore names only as many as will probably have room for the waiting tasks, and twice
 * as many after each call that granted nothing: first those that are known to be allowed, then
 * those where the tasks do not interfere with others, then those of the preferred speed, then those
 * with room for the most tasks. Executors that were denied are named again, at a low rate, only if
 * all others together have too little room.
 */
final class AdvicePlanner {
  // The service refuses calls that name more.
  private static final int MAX_EXECUTORS_PER_CALL = 100;
  // While short calls take all callers, most searches are in vain, and hundreds of steps may wait.
  private static final int MAX_SEARCHES_WHILE_REFUSED = 4;
  private static final long SEARCHES_INTERVAL_MILLIS = 20;
  private static final long FRUITLESS_SEARCH_PAUSE_MILLIS = 500;
  private static final double INITIAL_ALLOWED_SHARE = 0.5;
  private static final double MIN_ALLOWED_SHARE = 0.1;
  private static final double SMOOTHING_FACTOR = 0.1;
  // Spare room for executors that fill up while the call runs.
  private static final double SPARE_FACTOR = 1.3;
  // Bound on the probability that none of the named executors is allowed.
  private static final double MAX_MISS_PROBABILITY = 0.03;
  // After so many calls in a row without a ticket, all executors with room are named.
  private static final int MAX_DOUBLINGS = 4;
  private static final long RETRY_MILLIS = 300;
  // Some of the executors that are allowed are taken for long, or lost.
  private static final double EXPLORED_PER_MEMBER = 3;
  // Expected ends are off by about this much, and a ticket is valid for longer.
  private static final long RENEWAL_MARGIN_MILLIS = 300;

  private final OwnerState state;
  private final Map<String, Double> allowedShares = new HashMap<>();

  /** Duration of the shortest short call for which no host was free in this round. */
  private double refusedShortMillis = Double.POSITIVE_INFINITY;

  /** The same for long calls, which wait for other hosts than short ones. */
  private double refusedLongMillis = Double.POSITIVE_INFINITY;

  private final AdviceTurns turns;
  private int searchesLeft;
  private long searchesCountedFrom = Long.MIN_VALUE / 2;
  private AdviceSlots lastSlots = millis -> false;

  AdvicePlanner(OwnerState state) {
    this.state = state;
    turns = new AdviceTurns(s -> state.queue(s.job()).service());
  }

  /** Starts a round of placement, in which hosts may be free again. */
  void startRound(AdviceSlots slots) {
    lastSlots = slots;
    refusedShortMillis = Double.POSITIVE_INFINITY;
    refusedLongMillis = Double.POSITIVE_INFINITY;
  }

  /**
   * Returns the steps in the order in which they may ask for advice.
   *
   * @param ranked the waiting steps in the order of their ranks
   */
  List<LiveStep> withTurns(List<LiveStep> ranked, long now) {
    return turns.startRound(ranked, s -> !state.reservations.isBusy(s, now), now);
  }

  private boolean isRefused(double callMillis) {
    return callMillis >= (AdviceSlots.isShort(callMillis) ? refusedShortMillis : refusedLongMillis);
  }

  /** Returns whether all callers are taken by short calls, so that only long calls may be due. */
  private boolean shortCallsAreRefused() {
    return Double.isFinite(refusedShortMillis);
  }

  /**
   * Returns whether a search for executors may be made now. Searches are few after a refused short
   * call, and a step whose search was in vain lets others search before its next one.
   */
  private boolean maySearch(long now) {
    if (!shortCallsAreRefused()) {
      return true;
    }
    if (now - searchesCountedFrom >= SEARCHES_INTERVAL_MILLIS) {
      searchesCountedFrom = now;
      searchesLeft = MAX_SEARCHES_WHILE_REFUSED;
    }
    return searchesLeft-- > 0;
  }

  private void refused(double callMillis) {
    if (AdviceSlots.isShort(callMillis)) {
      refusedShortMillis = Math.min(refusedShortMillis, callMillis);
    } else {
      refusedLongMillis = Math.min(refusedLongMillis, callMillis);
    }
  }

  /**
   * Requests advice for the tasks of a step for which no executor was found.
   *
   * @param waiting the number of these tasks
   * @param room returns the capacity that an executor has, or could have, for the tasks
   */
  void plan(
      LiveStep step,
      int waiting,
      Function<LiveExecutor, Resources> room,
      AdviceSlots slots,
      long now) {
    Queue queue = state.queue(step.job());
    if (!queue.needsAdvice() || !step.tickets().mayCall(now)) {
      return;
    }
    AdviceSettings settings = queue.advice();
    boolean refused =
        isRefused(settings.callMillis(1)) && isRefused(settings.callMillis(MAX_EXECUTORS_PER_CALL));
    if (refused || !maySearch(now)) {
      turns.turnedAway(step, now);
      return;
    }
    List<LiveExecutor> named = candidates(step, queue, waiting, room, now);
    if (named.isEmpty()) {
      turns.nothingToAsk(step);
      if (shortCallsAreRefused()) {
        step.expensiveSearchNotBefore(now + FRUITLESS_SEARCH_PAUSE_MILLIS);
      }
    }
    call(step, queue, named, slots, now);
  }

  /**
   * Asks which executors may run a gang, whether they have room now or not: that does not change,
   * and only they can be kept for it.
   *
   * @return whether there are executors of which that is not known
   */
  boolean explore(LiveStep step, AdviceSlots slots, long now) {
    Queue queue = state.queue(step.job());
    if (!queue.needsAdvice() || !step.tickets().mayCall(now)) {
      return false;
    }
    List<LiveExecutor> unknown =
        state.executors.values().stream()
            .filter(e -> e.isUsable(now) && Placement.mayRun(e, step, queue, 0))
            .filter(e -> step.spec().committed().fitsIn(e.info().capacity()))
            .filter(e -> !step.tickets().isDenied(e) && !step.tickets().isAllowed(e))
            .sorted(preference(step, queue, now))
            .toList();
    double share = Math.max(MIN_ALLOWED_SHARE, allowedShare(queue));
    long wanted = Math.round(step.tasks().size() * EXPLORED_PER_MEMBER / share);
    call(step, queue, unknown.stream().limit(wanted).toList(), slots, now);
    return !unknown.isEmpty();
  }

  /**
   * Asks for tickets for executors that are kept for a gang, so that these are valid when the
   * executors are free.
   */
  void renew(LiveStep step, List<Reservation> kept, AdviceSlots slots, long now) {
    Queue queue = state.queue(step.job());
    if (!queue.needsAdvice() || !step.tickets().mayCall(now)) {
      return;
    }
    List<LiveExecutor> executors = kept.stream().map(Reservation::executor).distinct().toList();
    long at = kept.stream().mapToLong(Reservation::at).max().orElse(now);
    double callsMillis = callsMillis(queue.advice(), executors.size());
    boolean valid = executors.stream().allMatch(e -> step.tickets().valid(e, now).isPresent());
    if (!valid && at - now <= callsMillis + RENEWAL_MARGIN_MILLIS) {
      Comparator<LiveExecutor> byNeed =
          Comparator.comparing(e -> step.tickets().valid(e, now).isPresent());
      call(step, queue, executors.stream().sorted(byNeed).toList(), slots, now);
    }
  }

  /** Returns the duration of the calls, one after the other, that name a number of executors. */
  private static double callsMillis(AdviceSettings settings, int executors) {
    int full = executors / MAX_EXECUTORS_PER_CALL;
    int rest = executors % MAX_EXECUTORS_PER_CALL;
    return full * settings.callMillis(MAX_EXECUTORS_PER_CALL)
        + (rest == 0 ? 0 : settings.callMillis(rest));
  }

  /** Makes a call that names the first of the given executors, as many as a call may name. */
  private void call(
      LiveStep step, Queue queue, List<LiveExecutor> executors, AdviceSlots slots, long now) {
    AdviceSettings settings = queue.advice();
    List<LiveExecutor> named = executors.stream().limit(MAX_EXECUTORS_PER_CALL).toList();
    double callMillis = settings.callMillis(named.size());
    if (named.isEmpty() || !step.tickets().mayCall(now)) {
      return;
    }
    if (isRefused(callMillis)) {
      turns.turnedAway(step, now);
      return;
    }
    if (!slots.reserve(callMillis)) {
      refused(callMillis);
      turns.turnedAway(step, now);
      return;
    }
    turns.called(step);
    step.tickets().callStarted(named, settings, now);
    state.actions.add(
        new Action.RequestAdvice(
            step.id(), named.stream().map(LiveExecutor::id).toList(), settings));
  }

  private List<LiveExecutor> candidates(
      LiveStep step, Queue queue, int waiting, Function<LiveExecutor, Resources> room, long now) {
    double share = Math.max(MIN_ALLOWED_SHARE, allowedShare(queue));
    int minNamed =
        (int) Math.ceil(Math.log(MAX_MISS_PROBABILITY) / Math.log(1 - Math.min(0.95, share)));
    // Naming more executors costs little beside another call.
    int leastNamed = minNamed << Math.min(MAX_DOUBLINGS, step.tickets().misses());
    double wanted = waiting * SPARE_FACTOR;
    double expected = 0;
    int tasksWithRoom = 0;
    List<LiveExecutor> notDenied =
        fitting(step, queue, room, now)
            .filter(e -> !step.tickets().isDenied(e))
            .sorted(preference(step, queue, now))
            .toList();
    List<LiveExecutor> named = new ArrayList<>();
    for (LiveExecutor e : notDenied) {
      boolean enough = expected >= wanted && named.size() >= leastNamed;
      if (enough || named.size() >= MAX_EXECUTORS_PER_CALL) {
        return named;
      }
      named.add(e);
      int tasks = tasksThatFit(step, e, room.apply(e));
      tasksWithRoom += tasks;
      expected += tasks * (step.tickets().isAllowed(e) ? 1 : share);
    }
    if (tasksWithRoom < waiting) {
      fitting(step, queue, room, now)
          .filter(e -> step.tickets().mayRepeat(e, now))
          .limit(MAX_EXECUTORS_PER_CALL - named.size())
          .forEach(named::add);
    }
    return named;
  }

  /** Returns the executors that have room for a task of a step, which has no ticket for them. */
  private Stream<LiveExecutor> fitting(
      LiveStep step, Queue queue, Function<LiveExecutor, Resources> room, long now) {
    return state.executors.values().stream()
        .filter(e -> e.isUsableAsLastResort(now) && Placement.mayRun(e, step, queue, 0))
        .filter(e -> step.spec().committed().fitsIn(room.apply(e)))
        .filter(e -> step.tickets().valid(e, now).isEmpty());
  }

  private Comparator<LiveExecutor> preference(LiveStep step, Queue queue, long now) {
    Comparator<LiveExecutor> byKnownAllowed =
        Comparator.comparingInt(e -> step.tickets().isAllowed(e) ? 0 : 1);
    Comparator<LiveExecutor> byInterference =
        Comparator.comparing(
            e -> state.uses(Mechanism.INTERFERENCE) && Placement.interferes(e, step.spec()));
    return Placement.bySoundness(now)
        .thenComparing(byKnownAllowed)
        .thenComparing(byInterference)
        .thenComparing(SpeedPreference.of(step, queue, state.durations, now))
        .thenComparing(
            Comparator.comparingInt((LiveExecutor e) -> -tasksThatFit(step, e, e.free())))
        .thenComparing(LiveExecutor::id);
  }

  /** Returns how many more tasks of a step fit into a given capacity of an executor. */
  private static int tasksThatFit(LiveStep step, LiveExecutor executor, Resources room) {
    Resources one = step.spec().committed();
    long fits = step.spec().tasks();
    fits = Math.min(fits, quotient(room.milliProcessors(), one.milliProcessors()));
    fits = Math.min(fits, quotient(room.memoryMib(), one.memoryMib()));
    fits = Math.min(fits, quotient(room.accelerators(), one.accelerators()));
    if (step.spec().maxPerExecutor() > 0) {
      fits = Math.min(fits, step.spec().maxPerExecutor() - step.runsOn(executor));
    }
    return (int) Math.max(0, fits);
  }

  private static long quotient(long free, long one) {
    return one == 0 ? Long.MAX_VALUE : free / one;
  }

  private double allowedShare(Queue queue) {
    return allowedShares.getOrDefault(queue.name(), INITIAL_ALLOWED_SHARE);
  }

  /** Processes the answer to a call. */
  void answered(
      LiveStep step, List<String> asked, Map<String, String> tickets, long sentAt, long now) {
    learnAllowedShare(step, asked, tickets);
    step.tickets().callAnswered(tickets, now);
    step.retry();
    state.decisionListener.decisionMade(
        Kind.ADVICE,
        step.id().job(),
        step.id().toString(),
        tickets.size()
            + " of "
            + asked.size()
            + " executors allowed after "
            + (now - sentAt)
            + " ms; queue "
            + step.job().spec().queue().name()
            + "; "
            + lastSlots.usage());
  }

  /** Learns how many executors are allowed from those of which that was not known. */
  private void learnAllowedShare(LiveStep step, List<String> asked, Map<String, String> tickets) {
    List<String> unknown =
        asked.stream()
            .filter(id -> state.executors.containsKey(id))
            .filter(id -> !step.tickets().isKnown(state.executors.get(id)))
            .toList();
    if (!unknown.isEmpty()) {
      double share =
          unknown.stream().filter(tickets::containsKey).count() / (double) unknown.size();
      allowedShares.merge(
          state.queue(step.job()).name(), share, (old, s) -> old + SMOOTHING_FACTOR * (s - old));
    }
  }

  /** Records that a call was not answered. */
  void failed(LiveStep step, String problem, long now) {
    step.tickets().callFailed(now + RETRY_MILLIS, now);
    step.retry();
    state.decisionListener.decisionMade(
        Kind.ADVICE, step.id().job(), step.id().toString(), problem + "; " + lastSlots.usage());
  }
}
