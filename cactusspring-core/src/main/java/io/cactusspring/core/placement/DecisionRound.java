package io.cactusspring.core.placement;

import io.cactusspring.core.model.Urgency;
import java.util.List;
import java.util.function.ToIntFunction;

/**
 * One round of decisions: infeasible runs, claims, queued runs by urgency, new reservations, and
 * backfill.
 */
final class DecisionRound {
  private final RoundContext round;

  DecisionRound(
      PlacerComponents components,
      long nowMillis,
      int maxDecisions,
      ToIntFunction<String> budgetOfTeam) {
    round = new RoundContext(components, nowMillis, maxDecisions, budgetOfTeam);
  }

  List<Decision> run() {
    round.workers().allowDueProbes(round.nowMillis());
    reportInfeasible();
    new ClaimStep(round).run();
    unblock();
    QueueStep queues = new QueueStep(round);
    for (Urgency urgency : Urgency.values()) {
      queues.run(urgency);
    }
    new ReservationStep(round).run();
    new BackfillStep(round).run();
    if (!round.isAtDecisionLimit()) {
      round.workers().clearGainedCapacity();
    }
    return round.decisions();
  }

  private void reportInfeasible() {
    if (round.workers().isEmpty()) {
      return;
    }
    boolean all = round.workers().takeTopologyChange();
    for (TeamState team : round.state().teams()) {
      for (RunQueue queue : team.queues()) {
        queue.takeUnchecked(all).forEach(g -> reportIfInfeasible(queue, g));
      }
    }
  }

  private void reportIfInfeasible(RunQueue queue, RunGroup group) {
    Shape shape = group.shape();
    if (round.workers().fitsWhenEmpty(shape.resources(), shape.gangSize())) {
      return;
    }
    while (!group.isEmpty()) {
      if (round.isAtDecisionLimit()) {
        queue.addUnchecked(group);
        return;
      }
      WaitingUnit unit = group.head();
      queue.remove(unit);
      round.removeWaiting(unit);
      unit.members().forEach(m -> round.add(new Decision.Infeasible(m)));
    }
  }

  /** Unblocks groups that may fit now, and urgent ones whenever preemption is due. */
  private void unblock() {
    boolean preemptionDue = round.components().searchIntervals().preemptionIsDue(round.nowMillis());
    boolean anyGainedCapacity = !round.workers().gainedCapacity().isEmpty();
    if (!anyGainedCapacity && !preemptionDue) {
      return;
    }
    for (TeamState team : round.state().teams()) {
      if (preemptionDue) {
        team.queue(Urgency.URGENT).unblockIf(s -> true);
      }
      if (anyGainedCapacity) {
        team.queues()
            .forEach(q -> q.unblockIf(s -> round.workers().fitsGainedCapacity(s.resources())));
      }
    }
  }
}
