package io.cactusspring.core.placement;

import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.TaskId;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Room that is held for a waiting unit until tasks that use it end. */
final class Claim {
  private final WaitingUnit unit;
  private final List<Hold> holds;
  private final Set<TaskId> victims;
  private final long earliestMillis;
  private final long replanMillis;

  /** Room held for one run on one worker. */
  record Hold(PendingRun run, WorkerState worker) {
    Resources need() {
      return run.spec().resources();
    }

    boolean isFree() {
      return need().fitsIn(worker.free());
    }
  }

  private Claim(
      WaitingUnit unit,
      List<Hold> holds,
      Set<TaskId> victims,
      long earliestMillis,
      long replanMillis) {
    this.unit = unit;
    this.holds = List.copyOf(holds);
    this.victims = new HashSet<>(victims);
    this.earliestMillis = earliestMillis;
    this.replanMillis = replanMillis;
  }

  /** Creates a claim on the room of tasks that are being checkpointed. */
  static Claim ofVictims(WaitingUnit unit, WorkerState worker, Set<TaskId> victims) {
    return new Claim(unit, List.of(new Hold(unit.first(), worker)), victims, 0, Long.MAX_VALUE);
  }

  /**
   * Creates a claim on room that comes free as tasks end.
   *
   * @param earliestMillis before this time the unit can't start, by the shortest run times seen
   * @param replanMillis when to plan anew if the unit still waits
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

  Set<TaskId> victims() {
    return Set.copyOf(victims);
  }

  void victimEnded(TaskId task) {
    victims.remove(task);
  }

  boolean holdsOn(WorkerState worker) {
    return holds.stream().anyMatch(h -> h.worker() == worker);
  }

  /** Whether all holds can be used now; members on one worker need their sum. */
  boolean isFree() {
    if (holds.size() == 1) {
      return holds.getFirst().isFree();
    }
    return holds.stream().allMatch(h -> needOn(h.worker()).fitsIn(h.worker().free()));
  }

  private Resources needOn(WorkerState worker) {
    return holds.stream()
        .filter(h -> h.worker() == worker)
        .map(Hold::need)
        .reduce(Resources.NONE, Resources::plus);
  }

  /** Whether the claim is to be given up: a worker is lost, or the plan did not come true. */
  boolean isStale(Workers workers, long nowMillis) {
    if (holds.stream().anyMatch(h -> !workers.takesWork(h.worker()))) {
      return true;
    }
    boolean victimsGone = !isReservation() && victims.isEmpty();
    return (victimsGone || nowMillis >= replanMillis) && !isFree();
  }
}
