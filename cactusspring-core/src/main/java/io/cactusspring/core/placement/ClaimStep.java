package io.cactusspring.core.placement;

import java.util.Optional;

/** Starts units whose claimed capacity is free, and removes claims that are stale. */
final class ClaimStep {
  private final RoundContext round;
  private final Claims claims;
  private final UnitPlacer placer;

  ClaimStep(RoundContext round) {
    this.round = round;
    this.claims = round.components().claims();
    this.placer = round.components().placer();
  }

  void run() {
    if (claims.isEmpty()) {
      return;
    }
    boolean gangsDue = round.components().searchIntervals().gangClaimIsDue(round.nowMillis());
    for (Claim claim : claims.all()) {
      if (round.isAtDecisionLimit()) {
        return;
      }
      process(claim, gangsDue);
    }
  }

  private void process(Claim claim, boolean gangsDue) {
    WaitingUnit unit = claim.unit();
    if (claim.isStale(round.workers()) || !round.withinBudget(unit)) {
      claims.remove(unit);
      round.queueOf(unit).add(unit);
      return;
    }
    if (claim.canStart()) {
      claims.remove(unit);
      round.add(placer.startAll(claim.holds(), round.nowMillis()));
      round.removeWaiting(unit);
      return;
    }
    boolean worthTrying =
        unit.first().inGang()
            ? gangsDue
            : round.workers().fitsGainedCapacity(unit.shape().resources());
    if (worthTrying && placeElsewhere(claim)) {
      return;
    }
    if (claim.isReservation() && claim.isReplanDue(round.nowMillis())) {
      replan(claim);
      return;
    }
    preemptBackfill(claim);
  }

  /**
   * Plans a reservation again on the workers that are best now. The unit keeps its reservation and
   * returns to its queue only if no plan is found.
   */
  private void replan(Claim old) {
    WaitingUnit unit = old.unit();
    claims.remove(unit);
    Optional<Claim> plan =
        round.components().planner().plan(unit, old.backfillTasks(), round.nowMillis());
    if (plan.isEmpty()) {
      round.queueOf(unit).add(unit);
      return;
    }
    claims.add(plan.get());
    old.backfillTasks().stream()
        .filter(t -> plan.get().hasHoldOn(t.worker()))
        .forEach(t -> claims.addBackfillTask(plan.get(), t));
  }

  private boolean placeElsewhere(Claim claim) {
    claims.remove(claim.unit());
    Optional<Decision> placed = placer.place(claim.unit(), round.nowMillis());
    if (placed.isEmpty()) {
      claims.add(claim);
      return false;
    }
    round.add(placed.get());
    round.removeWaiting(claim.unit());
    return true;
  }

  /** Preempts the backfill tasks of a claim once they alone delay its unit. */
  private void preemptBackfill(Claim claim) {
    if (!claim.waitsForBackfillOnly() || !round.allowsMore(claim.backfillTasks().size())) {
      return;
    }
    claim.backfillTasks().stream()
        .filter(t -> !t.isVictim())
        .forEach(t -> round.preempt(t, claim.unit().first()));
  }
}
