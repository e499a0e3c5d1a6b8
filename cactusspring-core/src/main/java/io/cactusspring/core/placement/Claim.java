package io.cactusspring.core.placement;

import io.cactusspring.core.model.Resources;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Capacity that is held for a waiting unit until the tasks that occupy it end. */
final class Claim {
  private final WaitingUnit unit;
  private final List<Hold> holds;

  /** Tasks that are being checkpointed to make room for the unit. */
  private final Set<TaskState> victims;

  /** Tasks that run in reserved capacity and are checkpointed when the unit can start. */
  private final Set<TaskState> backfillTasks = new LinkedHashSet<>();

  private final long earliestMillis;
  private final long replanMillis;

  /** Capacity held for one run on one worker. */
  record Hold(PendingRun run, WorkerState worker) {
    Resources need() {
      return run.spec().resources();
    }
  }

  private Claim(
      WaitingUnit unit,
      List<Hold> holds,
      Collection<TaskState> victims,
      long earliestMillis,
      long replanMillis) {
    this.unit = unit;
    this.holds = List.copyOf(holds);
    this.victims = new LinkedHashSet<>(victims);
    this.earliestMillis = earliestMillis;
    this.replanMillis = replanMillis;
  }

  /** Creates a claim on the capacity of tasks that are being checkpointed. */
  static Claim ofVictims(WaitingUnit unit, WorkerState worker, Collection<TaskState> victims) {
    return new Claim(unit, List.of(new Hold(unit.first(), worker)), victims, 0, Long.MAX_VALUE);
  }

  /**
   * Creates a claim on capacity that is freed as tasks end.
   *
   * @param earliestMillis earliest start of the unit, estimated from the shortest observed run
   *     times
   * @param replanMillis time after which the reservation is planned again if the unit still waits
   */
  static Claim ofReservation(
      WaitingUnit unit, List<Hold> holds, long earliestMillis, long replanMillis) {
    return new Claim(unit, holds, Set.of(), earliestMillis, replanMillis);
  }

  WaitingUnit unit() {
    return unit;
  }

  List<Hold> holds() {
    return holds;
  }

  boolean isReservation() {
    return replanMillis != Long.MAX_VALUE;
  }

  long earliestMillis() {
    return earliestMillis;
  }

  Set<TaskState> victims() {
    return victims;
  }

  Set<TaskState> backfillTasks() {
    return backfillTasks;
  }

  boolean hasHoldOn(WorkerState worker) {
    return holds.stream().anyMatch(h -> h.worker() == worker);
  }

  /** Whether the free resources cover all holds; holds on one worker are summed. */
  boolean canStart() {
    return holds.stream().map(Hold::worker).distinct().allMatch(w -> needOn(w).fitsIn(w.free()));
  }

  /** Whether the free resources would cover all holds once the backfill tasks end. */
  boolean waitsForBackfillOnly() {
    return !backfillTasks.isEmpty()
        && holds.stream()
            .map(Hold::worker)
            .distinct()
            .allMatch(w -> needOn(w).fitsIn(w.free().plus(usedByBackfill(w))));
  }

  private Resources needOn(WorkerState worker) {
    return holds.stream()
        .filter(h -> h.worker() == worker)
        .map(Hold::need)
        .reduce(Resources.NONE, Resources::plus);
  }

  private Resources usedByBackfill(WorkerState worker) {
    return backfillTasks.stream()
        .filter(t -> t.worker() == worker)
        .map(TaskState::resources)
        .reduce(Resources.NONE, Resources::plus);
  }

  /**
   * Whether the claim can no longer be satisfied: a worker takes no new tasks, or all victims ended
   * without freeing enough capacity.
   */
  boolean isStale(Workers workers) {
    if (holds.stream().anyMatch(h -> !workers.takesWork(h.worker()))) {
      return true;
    }
    return !isReservation() && victims.isEmpty() && !canStart();
  }

  /** Whether to plan a reservation again; not while a backfill task is being checkpointed. */
  boolean isReplanDue(long nowMillis) {
    return nowMillis >= replanMillis && backfillTasks.stream().noneMatch(TaskState::isVictim);
  }
}
