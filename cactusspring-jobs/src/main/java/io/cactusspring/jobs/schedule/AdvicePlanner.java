package io.cactusspring.jobs.schedule;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.AdviceSettings;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.schedule.Decisions.Kind;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Decides which executors an advice call names.
 *
 * <p>A call takes longer for each executor that it names, and only a share of them is allowed. So
 * it names as many as will probably hold the waiting tasks, the roomiest first.
 */
final class AdvicePlanner {
  private static final int MOST_PER_CALL = 100;
  private static final double FIRST_GUESS_ALLOWED = 0.5;
  private static final double LEAST_ALLOWED = 0.1;
  private static final double AVERAGE_WEIGHT = 0.1;
  // Spare room for executors that fill up while the call runs.
  private static final double SPARE = 1.3;
  // Chance that a call names no allowed executor at all.
  private static final double MISS_CHANCE = 0.03;
  private static final long RETRY_MILLIS = 300;

  private final OwnerState state;
  private final Map<String, Double> allowedShares = new HashMap<>();

  AdvicePlanner(OwnerState state) {
    this.state = state;
  }

  /**
   * Asks for advice on the tasks of a step that found no executor.
   *
   * @param room what an executor has, or can be given, for them
   */
  void plan(
      LiveStep step,
      int waiting,
      Function<LiveExecutor, Resources> room,
      AdviceSlots slots,
      long now) {
    Queue queue = state.queue(step.job());
    if (!queue.needsAdvice() || !step.tickets().mayAsk(now)) {
      return;
    }
    List<LiveExecutor> named = candidates(step, queue, waiting, room, now);
    if (named.isEmpty()) {
      return;
    }
    AdviceSettings terms = queue.advice();
    if (slots.reserve(terms.callMillis(named.size()))) {
      step.tickets().asked(terms);
      state.actions.add(
          new Action.AskAdvice(step.id(), named.stream().map(LiveExecutor::id).toList(), terms));
    }
  }

  private List<LiveExecutor> candidates(
      LiveStep step, Queue queue, int waiting, Function<LiveExecutor, Resources> room, long now) {
    double share = Math.max(LEAST_ALLOWED, allowedShare(queue));
    List<LiveExecutor> fitting =
        state.executors.values().stream()
            .filter(e -> e.isUsable(now) && Placement.mayRun(e, step, queue, 0))
            .filter(e -> step.spec().committed().fitsIn(room.apply(e)))
            .filter(e -> !step.tickets().isDenied(e))
            .filter(e -> step.tickets().valid(e, now).isEmpty())
            .sorted(preference(step))
            .toList();
    int least = (int) Math.ceil(Math.log(MISS_CHANCE) / Math.log(1 - Math.min(0.95, share)));
    double wanted = waiting * SPARE;
    double expected = 0;
    List<LiveExecutor> named = new ArrayList<>();
    for (LiveExecutor e : fitting) {
      if (named.size() >= MOST_PER_CALL || (expected >= wanted && named.size() >= least)) {
        break;
      }
      boolean known = step.tickets().isAllowed(e);
      named.add(e);
      expected += fitting(step, e, room.apply(e)) * (known ? 1 : share);
    }
    return named;
  }

  private static Comparator<LiveExecutor> preference(LiveStep step) {
    Comparator<LiveExecutor> known =
        Comparator.comparingInt(e -> step.tickets().isAllowed(e) ? 0 : 1);
    Comparator<LiveExecutor> apart =
        Comparator.comparingInt(e -> Placement.disturbs(e, step.spec()) ? 1 : 0);
    return known
        .thenComparing(apart)
        .thenComparing(Comparator.comparingInt((LiveExecutor e) -> -fitting(step, e, e.free())))
        .thenComparing(LiveExecutor::id);
  }

  /** Returns how many more tasks of a step fit into some room of an executor. */
  private static int fitting(LiveStep step, LiveExecutor executor, Resources free) {
    Resources one = step.spec().committed();
    long fits = step.spec().tasks();
    fits = Math.min(fits, quotient(free.milliProcessors(), one.milliProcessors()));
    fits = Math.min(fits, quotient(free.memoryMib(), one.memoryMib()));
    fits = Math.min(fits, quotient(free.accelerators(), one.accelerators()));
    if (step.spec().maxPerExecutor() > 0) {
      fits = Math.min(fits, step.spec().maxPerExecutor() - step.runsOn(executor));
    }
    return (int) Math.max(0, fits);
  }

  private static long quotient(long free, long one) {
    return one == 0 ? Long.MAX_VALUE : free / one;
  }

  private double allowedShare(Queue queue) {
    return allowedShares.getOrDefault(queue.name(), FIRST_GUESS_ALLOWED);
  }

  /** Takes the answer to a call. */
  void answered(
      LiveStep step, List<String> asked, Map<String, String> tickets, long sentAt, long now) {
    Queue queue = state.queue(step.job());
    List<LiveExecutor> executors =
        asked.stream().map(state.executors::get).filter(e -> e != null).toList();
    step.tickets().granted(executors, tickets, now);
    double share = tickets.size() / (double) Math.max(1, asked.size());
    allowedShares.merge(queue.name(), share, (old, s) -> old + AVERAGE_WEIGHT * (s - old));
    state.decisions.made(
        Kind.ADVICE,
        step.id().job(),
        step.id().toString(),
        tickets.size()
            + " of "
            + asked.size()
            + " executors allowed after "
            + (now - sentAt)
            + " ms");
  }

  /** Takes note of a call that was not answered. */
  void failed(LiveStep step, String problem, long now) {
    step.tickets().failed(now + RETRY_MILLIS);
    state.decisions.made(Kind.ADVICE, step.id().job(), step.id().toString(), problem);
  }
}
