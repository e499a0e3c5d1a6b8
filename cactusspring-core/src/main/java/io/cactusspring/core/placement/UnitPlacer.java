package io.cactusspring.core.placement;

import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.RunId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Finds workers for waiting units and commits the resources there. */
final class UnitPlacer {
  private final PlacementPolicy policy;
  private final PlacementRules rules;
  private final ShardState state;
  private final Set<RunId> preempted;

  UnitPlacer(PlacementPolicy policy, PlacementRules rules, ShardState state, Set<RunId> preempted) {
    this.policy = policy;
    this.rules = rules;
    this.state = state;
    this.preempted = preempted;
  }

  /** Starts a unit, a gang completely or not at all; empty if it does not fit. */
  Optional<Decision> place(WaitingUnit unit, long nowMillis) {
    return unit.first().inGang() ? placeGang(unit, nowMillis) : placeSingle(unit, nowMillis);
  }

  private Optional<Decision> placeSingle(WaitingUnit unit, long nowMillis) {
    PendingRun run = unit.first();
    return findFor(run).map(w -> start(run, w, nowMillis));
  }

  private Optional<WorkerState> findFor(PendingRun run) {
    Resources need = run.spec().resources();
    Optional<WorkerState> best = state.workers().find(need);
    if (best.isEmpty() || !run.service() || !policy.spreadServices()) {
      return best;
    }
    int count = replicas(run, best.get().rack());
    if (count == 0) {
      return best;
    }
    return state.workers().findInRack(need, r -> replicas(run, r) < count).or(() -> best);
  }

  private int replicas(PendingRun run, String rack) {
    return state.spread().replicas(run.run().workload(), rack);
  }

  private Optional<Decision> placeGang(WaitingUnit unit, long nowMillis) {
    List<Claim.Hold> holds = holdAll(unit);
    holds.forEach(h -> state.workers().releaseHold(h.worker(), h.need()));
    if (!rules.gangIsComplete(holds.size(), unit.size()) || holds.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(startAll(holds, nowMillis));
  }

  private List<Claim.Hold> holdAll(WaitingUnit unit) {
    List<Claim.Hold> holds = new ArrayList<>();
    for (PendingRun member : unit.members()) {
      Optional<WorkerState> worker = findFor(member);
      if (worker.isEmpty()) {
        break;
      }
      holds.add(new Claim.Hold(member, worker.get()));
      state.workers().hold(worker.get(), member.spec().resources());
    }
    return holds;
  }

  /**
   * Starts the runs on the workers of their holds.
   *
   * @throws IllegalStateException if a worker has too little free or takes no new tasks
   */
  Decision startAll(List<Claim.Hold> holds, long nowMillis) {
    holds.forEach(h -> checkTakesWork(h.worker()));
    List<Decision.Place> places =
        holds.stream().map(h -> startInRoom(h.run(), h.worker(), nowMillis)).toList();
    return places.getFirst().run().inGang() ? new Decision.PlaceGang(places) : places.getFirst();
  }

  /**
   * Starts a run on a worker.
   *
   * @throws IllegalStateException if the worker has too little free or takes no new tasks
   */
  Decision.Place start(PendingRun run, WorkerState worker, long nowMillis) {
    checkTakesWork(worker);
    return startInRoom(run, worker, nowMillis);
  }

  private void checkTakesWork(WorkerState worker) {
    if (!rules.takesWork(worker)) {
      throw new IllegalStateException(
          "worker " + worker.name() + " takes no new tasks; expected one that does");
    }
  }

  /**
   * Checks free resources only. The first member of a gang may use up the probe of a quarantined
   * worker, which then takes no new tasks although the other members were placed there as well.
   */
  private Decision.Place startInRoom(PendingRun run, WorkerState worker, long nowMillis) {
    Resources need = run.spec().resources();
    if (!rules.fits(need, worker.free())) {
      throw new IllegalStateException(
          "worker " + worker.name() + " has " + worker.free() + " free; expected " + need);
    }
    CommittedTask task =
        new CommittedTask(
            run.task(), run.team(), run.spec(), worker.name(), run.service(), run.inGang());
    TaskState started = state.commit(task, worker, nowMillis, preempted.contains(run.run()));
    state.workers().scheduleProbeCheck(started, nowMillis);
    return new Decision.Place(run, worker.name());
  }
}
