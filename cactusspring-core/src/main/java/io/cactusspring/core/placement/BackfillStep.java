package io.cactusspring.core.placement;

import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.Urgency;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Starts runs in reserved capacity without delaying the reservation: runs whose observed run times
 * are short enough, and runs that can be checkpointed when the capacity is needed.
 */
final class BackfillStep {
  private final RoundContext round;
  private final PlacerComponents components;
  private final FairShares fairShares;

  BackfillStep(RoundContext round) {
    this.round = round;
    this.components = round.components();
    this.fairShares = new FairShares(round.state(), components.policy());
  }

  void run() {
    List<Claim> reservations =
        components.claims().reservations().stream().filter(this::hasFreeRoom).toList();
    if (!components.policy().backfill() || reservations.isEmpty()) {
      return;
    }
    for (Urgency urgency : Urgency.values()) {
      for (TeamState team : round.waitingTeamsByShare()) {
        RunQueue queue = team.queue(urgency);
        queue.blockedHeads().forEach(u -> backfill(queue, u, reservations));
      }
    }
  }

  private boolean hasFreeRoom(Claim claim) {
    return claim.holds().stream()
        .map(h -> h.worker().free())
        .anyMatch(f -> f.milliProcessors() > 0 && f.memoryMib() > 0);
  }

  private void backfill(RunQueue queue, WaitingUnit unit, List<Claim> reservations) {
    PendingRun run = unit.first();
    if (!fairShares.allows(round.state().team(unit.team()), unit)) {
      return;
    }
    if (round.isAtDecisionLimit() || run.inGang() || run.service() || !round.withinBudget(unit)) {
      return;
    }
    boolean canBeCheckpointed =
        run.spec().checkpointable() && !components.preempted().contains(run.run());
    OptionalLong maxRunTime = components.runTimes().upperBound(run.team(), run.spec());
    for (Claim claim : reservations) {
      boolean endsInTime =
          maxRunTime.isPresent()
              && round.nowMillis() + maxRunTime.getAsLong() <= claim.earliestMillis();
      Optional<WorkerState> worker =
          canBeCheckpointed || endsInTime ? findWorker(claim, run) : Optional.empty();
      if (worker.isPresent()) {
        start(queue, unit, worker.get(), claim, !endsInTime);
        return;
      }
    }
  }

  private Optional<WorkerState> findWorker(Claim claim, PendingRun run) {
    Resources need = run.spec().resources();
    return claim.holds().stream()
        .map(Claim.Hold::worker)
        .filter(w -> need.fitsIn(w.free()) && round.workers().takesWork(w))
        .findFirst();
  }

  private void start(
      RunQueue queue,
      WaitingUnit unit,
      WorkerState worker,
      Claim claim,
      boolean checkpointWhenNeeded) {
    queue.remove(unit);
    round.removeWaiting(unit);
    Decision.Place place = components.placer().start(unit.first(), worker, round.nowMillis());
    round.add(place);
    if (checkpointWhenNeeded) {
      round
          .state()
          .task(place.run().task())
          .ifPresent(t -> components.claims().addBackfillTask(claim, t));
    }
  }
}
