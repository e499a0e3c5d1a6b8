package io.cactusspring.core.placement;

import io.cactusspring.core.model.Urgency;
import java.util.Comparator;
import java.util.Optional;
import java.util.Set;

/** Reserves capacity for gangs, and for single runs that have waited for the reservation delay. */
final class ReservationStep {
  private static final int MAX_PLANS = 2;
  private static final int MAX_RESERVATIONS = 8;

  private final RoundContext round;
  private final PlacerComponents components;
  private int plansLeft = MAX_PLANS;

  ReservationStep(RoundContext round) {
    this.round = round;
    this.components = round.components();
  }

  void run() {
    if (!components.searchIntervals().reservationIsDue(round.nowMillis())) {
      return;
    }
    for (Urgency urgency : Urgency.values()) {
      for (TeamState team : round.waitingTeamsByShare()) {
        if (plansLeft == 0 || isReservationLimitReached()) {
          return;
        }
        reserveFor(team.queue(urgency));
      }
    }
  }

  /** Reservations cover only a fraction of the workers, which bounds the cost of a bad plan. */
  private boolean isReservationLimitReached() {
    int workers = round.workers().size();
    int limit = (int) Math.ceil(workers * components.policy().maxReservedWorkerFraction());
    return components.claims().reservations().size() >= MAX_RESERVATIONS
        || components.claims().reservedWorkers() >= limit;
  }

  private void reserveFor(RunQueue queue) {
    Optional<WaitingUnit> unit =
        queue.blockedHeads().stream()
            .filter(u -> u.first().inGang() || waitedLongEnough(u))
            .filter(round::withinBudget)
            .min(Comparator.comparingLong(WaitingUnit::sequence));
    if (unit.isEmpty()) {
      return;
    }
    plansLeft--;
    Optional<Claim> claim = components.planner().plan(unit.get(), Set.of(), round.nowMillis());
    components.searchIntervals().reservationPlanned(claim.isPresent(), round.nowMillis());
    if (claim.isPresent()) {
      queue.remove(unit.get());
      components.claims().add(claim.get());
    }
  }

  private boolean waitedLongEnough(WaitingUnit unit) {
    return round.nowMillis() - unit.waitingSinceMillis()
        >= components.policy().reservationDelayMillis();
  }
}
