package io.cactusspring.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Active claims and their holds on the workers. */
final class Claims {
  private final Workers workers;
  private final Map<Long, Claim> bySequence = new LinkedHashMap<>();

  /** Claim that waits for the end of a victim or backfill task. */
  private final Map<TaskState, Claim> byTask = new HashMap<>();

  Claims(Workers workers) {
    this.workers = workers;
  }

  void add(Claim claim) {
    bySequence.put(claim.unit().sequence(), claim);
    claim.victims().forEach(t -> byTask.put(t, claim));
    claim.backfillTasks().forEach(t -> byTask.put(t, claim));
    claim.holds().forEach(h -> workers.hold(h.worker(), h.need()));
  }

  void addBackfillTask(Claim claim, TaskState task) {
    claim.backfillTasks().add(task);
    byTask.put(task, claim);
  }

  boolean isEmpty() {
    return bySequence.isEmpty();
  }

  List<Claim> all() {
    return List.copyOf(bySequence.values());
  }

  boolean contains(WaitingUnit unit) {
    return bySequence.containsKey(unit.sequence());
  }

  List<Claim> reservations() {
    return bySequence.values().stream().filter(Claim::isReservation).toList();
  }

  /** Returns the number of workers on which reservations hold room. */
  int reservedWorkers() {
    return (int)
        bySequence.values().stream()
            .filter(Claim::isReservation)
            .flatMap(c -> c.holds().stream())
            .map(Claim.Hold::worker)
            .distinct()
            .count();
  }

  /** Removes the claim of a unit and releases its holds; returns whether there was one. */
  boolean remove(WaitingUnit unit) {
    Claim claim = bySequence.remove(unit.sequence());
    if (claim == null) {
      return false;
    }
    claim.victims().forEach(byTask::remove);
    claim.backfillTasks().forEach(byTask::remove);
    claim.holds().forEach(h -> workers.releaseHold(h.worker(), h.need()));
    return true;
  }

  /** Removes the claims with a hold on a worker; returns their units. */
  List<WaitingUnit> removeAllOn(WorkerState worker) {
    List<WaitingUnit> removed = new ArrayList<>();
    for (Claim claim : all()) {
      if (claim.hasHoldOn(worker)) {
        remove(claim.unit());
        removed.add(claim.unit());
      }
    }
    return removed;
  }

  void taskEnded(TaskState task) {
    Claim claim = byTask.remove(task);
    if (claim != null) {
      claim.victims().remove(task);
      claim.backfillTasks().remove(task);
    }
  }
}
