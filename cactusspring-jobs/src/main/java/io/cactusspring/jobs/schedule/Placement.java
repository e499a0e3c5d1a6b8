package io.cactusspring.jobs.schedule;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.schedule.Reservations.Reservation;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Stream;

/** Chooses executors for waiting tasks, and requests advice for steps that need it. */
final class Placement {
  /** Interval between two searches for a step that look at all executors. */
  private static final long EXPENSIVE_SEARCH_INTERVAL_MILLIS = 20;

  private final OwnerState state;
  private final RunLifecycle runs;
  private final AdvicePlanner advice;
  private final StepOrder order;
  private final SuspectPlacement suspects;
  private final ErrorContainment containment;
  private List<LiveStep> ranked = List.of();

  Placement(OwnerState state, RunLifecycle runs, AdvicePlanner advice, StepOrder order) {
    this.state = state;
    this.runs = runs;
    this.advice = advice;
    this.order = order;
    suspects = new SuspectPlacement(state);
    containment = new ErrorContainment(state, runs);
  }

  /** Places the waiting tasks for which an executor is free. */
  void place(AdviceSlots slots, long now) {
    suspects.beginRound(now);
    List<LiveStep> waiting =
        state.waitingSteps.all().stream().filter(s -> s.due(now).findAny().isPresent()).toList();
    if (waiting.isEmpty()) {
      ranked = List.of();
      return;
    }
    advice.startRound(slots);
    state.reservations.beginRound();
    Preemption preemption = new Preemption(state, runs);
    ranked = advice.withTurns(order.sorted(waiting, now), now);
    ranked.forEach(
        s -> containment.guardJob(s.job().id(), now, () -> placeStep(s, slots, preemption, now)));
    state.reservations.endRound();
  }

  /** Returns the steps of the last round in the order in which they were placed. */
  List<LiveStep> ranked() {
    return ranked;
  }

  private void placeStep(LiveStep step, AdviceSlots slots, Preemption preemption, long now) {
    int together = step.spec().gang() ? step.tasks().size() : 1;
    if (step.job().isSetAside() || !state.withinLimit(step, together)) {
      return;
    }
    long version = state.version();
    if (step.spec().gang()) {
      placeGang(step, slots, now);
      return;
    }
    List<LiveTask> waiting = startable(step, now);
    List<LiveTask> suspected = waiting.stream().filter(SuspectPlacement::isSuspect).toList();
    int placed = suspected.isEmpty() ? 0 : placeSuspects(step, suspected, now);
    if (version > step.triedAtVersion()) {
      placed += placeTasks(step, unsuspected(waiting, suspected), now);
    }
    int left = waiting.size() - placed;
    if (left == 0 || !state.withinLimit(step, 1)) {
      return;
    }
    step.triedAtVersion(version);
    if (!step.expensiveSearchDue(now)) {
      return;
    }
    step.expensiveSearchNotBefore(now + EXPENSIVE_SEARCH_INTERVAL_MILLIS);
    advice.plan(step, left, roomToAskFor(step), slots, now);
    Queue queue = state.queue(step.job());
    boolean urgent = order.mayPreempt(step, queue, now);
    if (urgent && !step.tickets().callPending()) {
      int lacking = left - preemption.makeRoom(step, queue, left, now);
      if (lacking > 0) {
        advice.plan(step, lacking, e -> preemption.freeAfterPreemption(e, now), slots, now);
      }
    }
  }

  /**
   * Returns the room of an executor from which on a step asks for advice. Room that is free is
   * taken by others before a ticket is there, so a promoted step asks before.
   */
  private Function<LiveExecutor, Resources> roomToAskFor(LiveStep step) {
    return order.isPromoted(step) ? e -> e.info().capacity() : LiveExecutor::free;
  }

  /**
   * Returns the tasks of a step that are due, without new ones for which the progress record of the
   * job has no room.
   */
  private List<LiveTask> startable(LiveStep step, long now) {
    List<LiveTask> due = step.due(now).toList();
    int room = step.job().roomForNewTasks(state.settings.maxBegunTasks());
    if (due.size() <= room) {
      return due;
    }
    Stream<LiveTask> begun = due.stream().filter(LiveTask::hasBegun);
    Stream<LiveTask> fresh = due.stream().filter(t -> !t.hasBegun()).limit(Math.max(0, room));
    return Stream.concat(begun, fresh).toList();
  }

  private static List<LiveTask> unsuspected(List<LiveTask> waiting, List<LiveTask> suspected) {
    return suspected.isEmpty()
        ? waiting
        : waiting.stream().filter(t -> !SuspectPlacement.isSuspect(t)).toList();
  }

  /** Places tasks that may crash their executor, apart from others; returns how many. */
  private int placeSuspects(LiveStep step, List<LiveTask> tasks, long now) {
    Queue queue = state.queue(step.job());
    int placed = 0;
    for (LiveTask task : tasks) {
      if (!suspects.searchDue(task, now) || !state.withinLimit(step, 1)) {
        continue;
      }
      List<LiveExecutor> usable = permitted(step, now).toList();
      Optional<LiveExecutor> executor = suspects.choose(task, queue, usable, now);
      if (executor.isPresent()) {
        runs.decide(task, task.lastRun() + 1, executor.get(), now);
        suspects.started(task, now);
        placed++;
      }
    }
    return placed;
  }

  /** Places tasks of a step one by one; returns how many. */
  private int placeTasks(LiveStep step, List<LiveTask> waiting, long now) {
    List<LiveExecutor> candidates = candidates(step, now);
    Comparator<LiveExecutor> preference = preference(step, now);
    int placed = 0;
    for (LiveTask task : waiting) {
      Optional<LiveExecutor> executor = choose(step, candidates, List.of(), preference, now);
      if (executor.isEmpty() || !state.withinLimit(step, 1)) {
        break;
      }
      runs.decide(task, task.lastRun() + 1, executor.get(), now);
      placed++;
    }
    return placed;
  }

  /** Places all members of a gang, or none. */
  private void placeGang(LiveStep step, AdviceSlots slots, long now) {
    List<LiveTask> members = step.tasks();
    long fresh = members.stream().filter(m -> !m.hasBegun()).count();
    if (!members.stream().allMatch(m -> m.isDue(now))
        || fresh > step.job().roomForNewTasks(state.settings.maxBegunTasks())) {
      return;
    }
    long version = state.version();
    boolean suspected = SuspectPlacement.isSuspect(members.get(0));
    if (suspected ? suspects.searchDue(members.get(0), now) : version > step.triedAtVersion()) {
      // All executors count: members may need room on several of them.
      step.retry();
      List<LiveExecutor> candidates =
          suspected
              ? suspects.candidatesOfGang(members.get(0), candidates(step, now), now)
              : candidates(step, now);
      Comparator<LiveExecutor> preference = preference(step, now);
      List<LiveExecutor> chosen = new ArrayList<>();
      for (int i = 0; i < members.size(); i++) {
        choose(step, candidates, chosen, preference, now).ifPresent(chosen::add);
      }
      if (chosen.size() == members.size()) {
        startGang(members, chosen, now);
        state.reservations.end(step);
        if (suspected) {
          members.forEach(m -> suspects.started(m, now));
        }
        return;
      }
      step.triedAtVersion(version);
    }
    List<Reservation> kept = suspected ? List.of() : state.reservations.reserve(step, now);
    if (step.expensiveSearchDue(now)) {
      step.expensiveSearchNotBefore(now + EXPENSIVE_SEARCH_INTERVAL_MILLIS);
      requestGangAdvice(step, kept, slots, now);
    }
  }

  /**
   * Requests advice for a gang that waits. Where executors are kept for it, advice is there by the
   * time that they are free; which of them may run it is asked before that.
   */
  private void requestGangAdvice(
      LiveStep step, List<Reservation> kept, AdviceSlots slots, long now) {
    if (!kept.isEmpty()) {
      advice.renew(step, kept, slots, now);
    } else if (!state.reservations.areMadeFor(step) || !advice.explore(step, slots, now)) {
      advice.plan(step, step.tasks().size(), roomToAskFor(step), slots, now);
    }
  }

  private void startGang(List<LiveTask> members, List<LiveExecutor> chosen, long now) {
    int number = members.stream().mapToInt(LiveTask::lastRun).max().orElse(0) + 1;
    for (int i = 0; i < members.size(); i++) {
      runs.decide(members.get(i), number, chosen.get(i), now);
    }
  }

  /**
   * Returns the executors that may run tasks of a step and have changed since its last search: all
   * others had no room then.
   */
  private List<LiveExecutor> candidates(LiveStep step, long now) {
    return permitted(step, now)
        .filter(e -> e.gainedAtVersion() > step.triedAtVersion() && !suspects.isHeld(e))
        .toList();
  }

  /** Returns the executors that take tasks now and may run tasks of a step. */
  private Stream<LiveExecutor> permitted(LiveStep step, long now) {
    Queue queue = state.queue(step.job());
    Stream<LiveExecutor> allowed =
        queue.needsAdvice()
            ? step.tickets().executors().stream()
                .map(state.executors::get)
                .filter(e -> e != null && step.tickets().valid(e, now).isPresent())
            : state.executors.values().stream();
    return allowed.filter(e -> e.isUsableAsLastResort(now)).filter(e -> mayRun(e, step, queue, 0));
  }

  /**
   * Chooses an executor for one more task of a step.
   *
   * @param planned executors chosen for other tasks of the step, listed once for each task
   */
  private Optional<LiveExecutor> choose(
      LiveStep step,
      List<LiveExecutor> candidates,
      List<LiveExecutor> planned,
      Comparator<LiveExecutor> preference,
      long now) {
    Queue queue = state.queue(step.job());
    return candidates.stream()
        .filter(e -> e.isUsable(now) || (e.isUsableAsLastResort(now) && !planned.contains(e)))
        .filter(e -> fits(e, step, queue, Collections.frequency(planned, e)))
        .filter(e -> state.reservations.admits(e, step, Collections.frequency(planned, e), now))
        .min(preference);
  }

  /**
   * Returns whether an executor may run one more task of a step and has room for it.
   *
   * @param planned further tasks of the step that are planned there
   */
  static boolean fits(LiveExecutor executor, LiveStep step, Queue queue, int planned) {
    return mayRun(executor, step, queue, planned)
        && step.spec().committed().times(planned + 1).fitsIn(executor.free());
  }

  /** Returns whether an executor may run one more task of a step if it has room. */
  static boolean mayRun(LiveExecutor executor, LiveStep step, Queue queue, int planned) {
    StepSpec spec = step.spec();
    int max = spec.maxPerExecutor();
    return executor.info().service().equals(queue.service())
        && executor.hasLabel(spec.requiredLabel())
        && (max == 0 || step.runsOn(executor) + planned < max);
  }

  private Comparator<LiveExecutor> preference(LiveStep step, long now) {
    StepSpec spec = step.spec();
    Comparator<LiveExecutor> bySpeed =
        SpeedPreference.of(step, state.queue(step.job()), state.durations, now);
    Comparator<LiveExecutor> byInterference =
        Comparator.comparing(e -> state.uses(Mechanism.INTERFERENCE) && interferes(e, spec));
    Comparator<LiveExecutor> byLocality =
        Comparator.comparing(e -> state.uses(Mechanism.LOCALITY) && isRemote(e, step, spec));
    ResourceKind kind = state.scarceResource(state.queue(step.job()).service(), now);
    Comparator<LiveExecutor> byFreeCapacity =
        spec.fills()
            ? Comparator.comparingLong(e -> -idleProcessors(e))
            : Comparator.comparingDouble((LiveExecutor e) -> kind.of(e.free()))
                .thenComparingLong(e -> e.free().milliProcessors());
    return bySoundness(now)
        .thenComparing(step::hasFailedOn)
        .thenComparing(byInterference)
        .thenComparing(byLocality)
        .thenComparing(bySpeed)
        .thenComparing(byFreeCapacity);
  }

  /** Orders executors in quarantine after all others. */
  static Comparator<LiveExecutor> bySoundness(long now) {
    return Comparator.comparing(e -> e.isQuarantined(now));
  }

  /** Returns whether a filling task and one with a latency target would share the executor. */
  static boolean interferes(LiveExecutor executor, StepSpec spec) {
    if (spec.fills()) {
      return executor.runs().stream().anyMatch(Run::serves);
    }
    return spec.longRunning()
        && spec.targetMillis() > 0
        && executor.runs().stream().anyMatch(r -> r.spec().fills());
  }

  private static boolean isRemote(LiveExecutor executor, LiveStep step, StepSpec spec) {
    if (!spec.dataRack().isEmpty()) {
      return !executor.hasLabel(spec.dataRack());
    }
    return spec.sameRack()
        && step.tasks().stream()
            .filter(t -> t.executor() != null)
            .anyMatch(t -> !t.executor().labels().equals(executor.labels()));
  }

  /** Returns the thousandths of processors that neither committed nor filling tasks use. */
  private static long idleProcessors(LiveExecutor executor) {
    long filling =
        executor.runs().stream()
            .filter(r -> r.spec().fills())
            .mapToLong(r -> r.spec().resources().milliProcessors())
            .sum();
    return executor.free().milliProcessors() - filling;
  }
}
