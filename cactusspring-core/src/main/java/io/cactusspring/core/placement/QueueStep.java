package io.cactusspring.core.placement;

import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.Urgency;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** Places queued units in weighted fair order: the team with the lowest weighted share first. */
final class QueueStep {
  private final RoundContext round;
  private final PlacerComponents components;
  private FairShares fairShares;

  /** Whether a team above its share was skipped since the shares were computed. */
  private boolean passedOver;

  /** Sizes that fit on no worker in this round; no larger size fits either. */
  private final List<Resources> unplaceable = new ArrayList<>();

  /** Sizes for which preemption found no victims in this round. */
  private final List<Resources> withoutVictims = new ArrayList<>();

  QueueStep(RoundContext round) {
    this.round = round;
    this.components = round.components();
  }

  void run(Urgency urgency) {
    Set<Shape> overBudget = new HashSet<>();
    boolean repeat = true;
    while (repeat) {
      fairShares = new FairShares(round.state(), components.policy());
      passedOver = false;
      int before = round.decisionCount();
      overBudget.addAll(placeAll(urgency));
      repeat = passedOver && round.decisionCount() > before;
    }
    if (!overBudget.isEmpty()) {
      round.state().teams().forEach(t -> t.queue(urgency).unblockIf(overBudget::contains));
    }
  }

  /** Returns the shapes that were blocked because they exceed the budget of their team. */
  private Set<Shape> placeAll(Urgency urgency) {
    List<RunGroup> overBudget = new ArrayList<>();
    Optional<TeamState> team = teamWithLowestShare(urgency);
    while (team.isPresent() && !round.isAtDecisionLimit()) {
      RunQueue queue = team.get().queue(urgency);
      RunGroup group = queue.firstReady();
      if (!round.withinBudget(group.head())) {
        queue.block(group);
        overBudget.add(group);
      } else if (!place(queue, group.head())) {
        queue.block(group);
      }
      team = teamWithLowestShare(urgency);
    }
    return overBudget.stream().map(RunGroup::shape).collect(Collectors.toSet());
  }

  /** Returns the team with the lowest weighted share that has ready units and budget left. */
  private Optional<TeamState> teamWithLowestShare(Urgency urgency) {
    Resources total = round.state().total();
    TeamState best = null;
    double lowest = Double.POSITIVE_INFINITY;
    for (TeamState team : round.state().teams()) {
      if (!team.queue(urgency).hasReady() || !round.withinBudget(team, 1)) {
        continue;
      }
      WaitingUnit unit = team.queue(urgency).firstReady().head();
      if (urgency != Urgency.URGENT && !fairShares.allows(team, unit)) {
        passedOver = true;
        continue;
      }
      double share = team.weightedShare(total);
      if (best == null || share < lowest) {
        best = team;
        lowest = share;
      }
    }
    return Optional.ofNullable(best);
  }

  private boolean place(RunQueue queue, WaitingUnit unit) {
    Resources need = unit.shape().resources();
    boolean knownUnplaceable = isAtLeastAnyOf(unplaceable, need);
    Optional<Decision> placed =
        knownUnplaceable ? Optional.empty() : components.placer().place(unit, round.nowMillis());
    if (placed.isPresent()) {
      queue.remove(unit);
      round.removeWaiting(unit);
      round.add(placed.get());
      return true;
    }
    if (!knownUnplaceable && !unit.first().inGang()) {
      unplaceable.add(need);
    }
    return unit.urgency() == Urgency.URGENT && preempt(queue, unit);
  }

  private static boolean isAtLeastAnyOf(List<Resources> sizes, Resources need) {
    for (Resources size : sizes) {
      if (size.fitsIn(need)) {
        return true;
      }
    }
    return false;
  }

  private boolean preempt(RunQueue queue, WaitingUnit unit) {
    Resources need = unit.shape().resources();
    if (isAtLeastAnyOf(withoutVictims, need) || !components.preemptor().mayPreempt(unit)) {
      return false;
    }
    Optional<Preemptor.Plan> plan = components.preemptor().plan(unit);
    if (plan.isEmpty()) {
      withoutVictims.add(need);
      return false;
    }
    List<TaskState> victims = plan.get().victims();
    if (!round.allowsMore(victims.size())) {
      return false;
    }
    queue.remove(unit);
    victims.forEach(v -> round.preempt(v, unit.first()));
    components.claims().add(Claim.ofVictims(unit, plan.get().worker(), victims));
    return true;
  }
}
