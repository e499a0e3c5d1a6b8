package io.cactusspring.core.placement;

import java.util.Optional;

/** Starts claimed work whose room is free, and gives up claims that can't come true. */
final class ClaimStep {
  private final Round round;
  private final Claims claims;
  private final UnitPlacer placer;

  ClaimStep(Round round) {
    this.round = round;
    this.claims = round.parts().claims();
    this.placer = round.parts().placer();
  }

  void run() {
    if (claims.isEmpty()) {
      return;
    }
    boolean gangsDue = round.parts().pace().gangClaimIsDue(round.nowMillis());
    for (Claim claim : claims.all()) {
      if (round.isFull()) {
        return;
      }
      serve(claim, gangsDue);
    }
  }

  private void serve(Claim claim, boolean gangsDue) {
    WaitingUnit unit = claim.unit();
    if (claim.isStale(round.workers()) || !round.withinBudget(unit)) {
      claims.drop(unit);
      round.queueOf(unit).add(unit);
      return;
    }
    if (claim.isFree()) {
      claims.drop(unit);
      round.add(placer.startAll(claim.holds(), round.nowMillis()));
      round.finish(unit);
      return;
    }
    boolean worthTrying =
        unit.first().inGang() ? gangsDue : round.workers().fitsRaised(unit.shape().resources());
    if (worthTrying && placeElsewhere(claim)) {
      return;
    }
    if (claim.isReservation() && claim.isPlanOld(round.nowMillis())) {
      planAnew(claim);
      return;
    }
    sendGuestsAway(claim);
  }

  /** Keeps the place of a reservation, on the workers that suit it best by now. */
  private void planAnew(Claim old) {
    WaitingUnit unit = old.unit();
    claims.drop(unit);
    Optional<Claim> plan = round.parts().planner().plan(unit, old.guests(), round.nowMillis());
    if (plan.isEmpty()) {
      round.queueOf(unit).add(unit);
      return;
    }
    claims.add(plan.get());
    old.guests().stream()
        .filter(g -> plan.get().holdsOn(g.worker()))
        .forEach(g -> claims.addGuest(plan.get(), g));
  }

  private boolean placeElsewhere(Claim claim) {
    claims.drop(claim.unit());
    Optional<Decision> placed = placer.place(claim.unit(), round.nowMillis());
    if (placed.isEmpty()) {
      claims.add(claim);
      return false;
    }
    round.add(placed.get());
    round.finish(claim.unit());
    return true;
  }

  /** Checkpoints runs that use reserved room once nothing else keeps the reservation waiting. */
  private void sendGuestsAway(Claim claim) {
    if (!claim.waitsForGuestsOnly() || !round.hasRoomFor(claim.guests().size())) {
      return;
    }
    claim.guests().stream()
        .filter(g -> !g.isVictim())
        .forEach(g -> round.preempt(g, claim.unit().first()));
  }
}
