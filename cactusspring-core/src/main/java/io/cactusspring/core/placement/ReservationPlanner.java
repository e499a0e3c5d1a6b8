package io.cactusspring.core.placement;

import io.cactusspring.core.model.Resources;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToLongFunction;

/** Finds the workers on which a unit can start earliest, by estimated ends of running tasks. */
final class ReservationPlanner {
  private static final int MIN_WORKERS_EXAMINED = 128;
  private static final int WORKERS_EXAMINED_PER_MEMBER = 4;
  private static final long REPLAN_MILLIS = 5_000;
  private static final long UNKNOWN_RUN_TIME_MILLIS = 30L * 24 * 3_600_000;

  private final ShardState state;
  private final RunTimes runTimes;

  /** Time from which one more member fits on a worker, in milliseconds. */
  private record Slot(long fromMillis, WorkerState worker) {}

  ReservationPlanner(ShardState state, RunTimes runTimes) {
    this.state = state;
    this.runTimes = runTimes;
  }

  /**
   * Returns a claim on the capacity that is free first; empty if the unit does not fit on workers
   * without holds even after all their tasks but service replicas have ended.
   *
   * @param backfillTasks tasks that are checkpointed as soon as the unit can start
   */
  Optional<Claim> plan(WaitingUnit unit, Set<TaskState> backfillTasks, long nowMillis) {
    ToLongFunction<TaskState> end =
        t -> backfillTasks.contains(t) ? nowMillis : latestEnd(t, nowMillis);
    int sampleSize = Math.max(MIN_WORKERS_EXAMINED, unit.size() * WORKERS_EXAMINED_PER_MEMBER);
    List<Slot> slots = slots(unit, state.workers().nextRoundRobin(sampleSize), end, nowMillis);
    if (slots.size() < unit.size()) {
      slots = slots(unit, state.workers().all(), end, nowMillis);
    }
    if (slots.size() < unit.size()) {
      return Optional.empty();
    }
    slots.sort(Comparator.comparingLong(Slot::fromMillis));
    List<Slot> chosen = slots.subList(0, unit.size());
    return Optional.of(claim(unit, chosen, nowMillis));
  }

  private List<Slot> slots(
      WaitingUnit unit,
      Collection<WorkerState> workers,
      ToLongFunction<TaskState> end,
      long nowMillis) {
    Resources need = unit.first().spec().resources();
    List<Slot> slots = new ArrayList<>();
    for (WorkerState worker : workers) {
      if (need.fitsIn(worker.total()) && state.workers().takesWork(worker) && !worker.hasHolds()) {
        slots.addAll(slotsOn(worker, need, unit.size(), end, nowMillis));
      }
    }
    return slots;
  }

  private Claim claim(WaitingUnit unit, List<Slot> chosen, long nowMillis) {
    List<Claim.Hold> holds = new ArrayList<>();
    for (int i = 0; i < chosen.size(); i++) {
      holds.add(new Claim.Hold(unit.members().get(i), chosen.get(i).worker()));
    }
    return Claim.ofReservation(
        unit, holds, earliestStart(holds, nowMillis), nowMillis + REPLAN_MILLIS);
  }

  private long earliestStart(List<Claim.Hold> holds, long nowMillis) {
    Resources need = holds.getFirst().need();
    return holds.stream()
        .map(Claim.Hold::worker)
        .distinct()
        .mapToLong(w -> earliestOn(w, need, count(holds, w), nowMillis))
        .max()
        .orElse(nowMillis);
  }

  private long earliestOn(WorkerState worker, Resources need, int members, long nowMillis) {
    List<Slot> slots = slotsOn(worker, need, members, t -> earliestEnd(t, nowMillis), nowMillis);
    return slots.size() < members ? nowMillis : slots.get(members - 1).fromMillis();
  }

  private static int count(List<Claim.Hold> holds, WorkerState worker) {
    return (int) holds.stream().filter(h -> h.worker() == worker).count();
  }

  private static List<Slot> slotsOn(
      WorkerState worker, Resources need, int max, ToLongFunction<TaskState> end, long nowMillis) {
    List<Slot> slots = new ArrayList<>();
    Resources room = worker.available();
    addSlots(slots, worker, Math.min(max, Workers.timesIn(room, need)), nowMillis);
    for (TaskState task : byEnd(worker, end)) {
      if (slots.size() >= max) {
        break;
      }
      room = room.plus(task.resources());
      addSlots(slots, worker, Math.min(max, Workers.timesIn(room, need)), end.applyAsLong(task));
    }
    return slots;
  }

  private static void addSlots(List<Slot> slots, WorkerState worker, int upTo, long fromMillis) {
    while (slots.size() < upTo) {
      slots.add(new Slot(fromMillis, worker));
    }
  }

  private static List<TaskState> byEnd(WorkerState worker, ToLongFunction<TaskState> end) {
    return worker.tasks().stream()
        .filter(t -> !t.committed().service())
        .sorted(Comparator.comparingLong(end))
        .toList();
  }

  private long latestEnd(TaskState task, long nowMillis) {
    long declared = task.committed().spec().expectedMillis();
    long fallback = declared == 0 ? UNKNOWN_RUN_TIME_MILLIS : declared;
    long millis =
        runTimes.upperBound(task.committed().team(), task.committed().spec()).orElse(fallback);
    return Math.max(nowMillis, start(task, nowMillis) + millis);
  }

  private long earliestEnd(TaskState task, long nowMillis) {
    long millis = runTimes.lowerBound(task.committed().team(), task.committed().spec());
    return Math.max(nowMillis, start(task, nowMillis) + millis);
  }

  private static long start(TaskState task, long nowMillis) {
    return task.startMillis() == TaskState.UNKNOWN_START ? nowMillis : task.startMillis();
  }
}
