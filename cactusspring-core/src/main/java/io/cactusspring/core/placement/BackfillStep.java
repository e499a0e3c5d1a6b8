package io.cactusspring.core.placement;

import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.Urgency;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Starts runs in reserved room without delaying the reservation: those that were seen to be short
 * enough, and those that can be checkpointed when the room is needed.
 */
final class BackfillStep {
  private final Round round;
  private final PlacerParts parts;
  private final FairShares fair;

  BackfillStep(Round round) {
    this.round = round;
    this.parts = round.parts();
    this.fair = new FairShares(round.state(), parts.policy());
  }

  void run() {
    List<Claim> reservations =
        parts.claims().reservations().stream().filter(this::hasFreeRoom).toList();
    if (!parts.policy().backfill() || reservations.isEmpty()) {
      return;
    }
    for (Urgency urgency : Urgency.values()) {
      for (TeamState team : round.waitingTeamsByNeed()) {
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
    if (!fair.allows(round.state().team(unit.team()), unit)) {
      return;
    }
    if (round.isFull() || run.inGang() || run.service() || !round.withinBudget(unit)) {
      return;
    }
    boolean canLeave = run.spec().checkpointable() && !parts.preempted().contains(run.run());
    OptionalLong longest = parts.runTimes().longest(run.team(), run.spec());
    for (Claim claim : reservations) {
      boolean leavesInTime =
          longest.isPresent() && round.nowMillis() + longest.getAsLong() <= claim.earliestMillis();
      Optional<WorkerState> worker =
          canLeave || leavesInTime ? heldRoom(claim, run) : Optional.empty();
      if (worker.isPresent()) {
        start(queue, unit, worker.get(), claim, !leavesInTime);
        return;
      }
    }
  }

  private Optional<WorkerState> heldRoom(Claim claim, PendingRun run) {
    Resources need = run.spec().resources();
    return claim.holds().stream()
        .map(Claim.Hold::worker)
        .filter(w -> need.fitsIn(w.free()) && round.workers().takesWork(w))
        .findFirst();
  }

  private void start(
      RunQueue queue, WaitingUnit unit, WorkerState worker, Claim claim, boolean asGuest) {
    queue.remove(unit);
    round.finish(unit);
    Decision.Place place = parts.placer().start(unit.first(), worker, round.nowMillis());
    round.add(place);
    if (asGuest) {
      round.state().task(place.run().task()).ifPresent(t -> parts.claims().addGuest(claim, t));
    }
  }
}
