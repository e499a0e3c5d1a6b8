package io.cactusspring.core.placement;

import io.cactusspring.core.model.TaskId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Claims in force, whose room is held on the workers. */
final class Claims {
  private final Workers workers;
  private final Map<Long, Claim> bySequence = new LinkedHashMap<>();
  private final Map<TaskId, Claim> byVictim = new HashMap<>();

  Claims(Workers workers) {
    this.workers = workers;
  }

  void add(Claim claim) {
    bySequence.put(claim.unit().sequence(), claim);
    claim.victims().forEach(v -> byVictim.put(v, claim));
    claim.holds().forEach(h -> workers.hold(h.worker(), h.need()));
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

  Optional<Claim> reservation() {
    return bySequence.values().stream().filter(Claim::isReservation).findFirst();
  }

  /** Gives the room of a unit's claim up; returns whether there was one. */
  boolean drop(WaitingUnit unit) {
    Claim claim = bySequence.remove(unit.sequence());
    if (claim == null) {
      return false;
    }
    claim.victims().forEach(byVictim::remove);
    claim.holds().forEach(h -> workers.unhold(h.worker(), h.need()));
    return true;
  }

  /** Gives up the claims that hold room on a worker; returns their units. */
  List<WaitingUnit> dropOn(WorkerState worker) {
    List<WaitingUnit> dropped = new ArrayList<>();
    for (Claim claim : all()) {
      if (claim.holdsOn(worker)) {
        drop(claim.unit());
        dropped.add(claim.unit());
      }
    }
    return dropped;
  }

  void victimEnded(TaskId task) {
    Claim claim = byVictim.remove(task);
    if (claim != null) {
      claim.victimEnded(task);
    }
  }
}
