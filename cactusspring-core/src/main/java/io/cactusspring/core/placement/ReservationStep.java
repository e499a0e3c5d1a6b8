package io.cactusspring.core.placement;

import io.cactusspring.core.model.Urgency;
import java.util.Comparator;
import java.util.Optional;
import java.util.Set;

/** Reserves room for gangs, and for single runs that were overtaken for long. */
final class ReservationStep {
  private static final int MAX_PLANS = 2;
  private static final int MAX_RESERVATIONS = 8;

  private final Round round;
  private final PlacerParts parts;
  private int plansLeft = MAX_PLANS;

  ReservationStep(Round round) {
    this.round = round;
    this.parts = round.parts();
  }

  void run() {
    if (!parts.pace().reservationIsDue(round.nowMillis())) {
      return;
    }
    for (Urgency urgency : Urgency.values()) {
      for (TeamState team : round.waitingTeamsByNeed()) {
        if (plansLeft == 0 || isHeldEnough()) {
          return;
        }
        reserveFor(team.queue(urgency));
      }
    }
  }

  /** Only a part of the workers is ever held, so that a bad plan costs little. */
  private boolean isHeldEnough() {
    int workers = round.workers().size();
    int limit = (int) Math.ceil(workers * parts.policy().maxReservedWorkerFraction());
    return parts.claims().reservations().size() >= MAX_RESERVATIONS
        || parts.claims().reservedWorkers() >= limit;
  }

  private void reserveFor(RunQueue queue) {
    Optional<WaitingUnit> unit =
        queue.blockedHeads().stream()
            .filter(u -> u.first().inGang() || waitedLong(u))
            .filter(round::withinBudget)
            .min(Comparator.comparingLong(WaitingUnit::sequence));
    if (unit.isEmpty()) {
      return;
    }
    plansLeft--;
    Optional<Claim> claim = parts.planner().plan(unit.get(), Set.of(), round.nowMillis());
    parts.pace().planned(claim.isPresent(), round.nowMillis());
    if (claim.isPresent()) {
      queue.remove(unit.get());
      parts.claims().add(claim.get());
    }
  }

  private boolean waitedLong(WaitingUnit unit) {
    return round.nowMillis() - unit.sinceMillis() >= parts.policy().reservationDelayMillis();
  }
}
