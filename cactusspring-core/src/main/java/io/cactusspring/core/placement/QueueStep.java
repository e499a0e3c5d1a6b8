package io.cactusspring.core.placement;

import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.Urgency;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** Places queued work in weighted fair order of the teams that wait. */
final class QueueStep {
  private final RoundContext round;
  private final PlacerComponents components;
  private FairShares fair;

  /** Whether a team above its share was passed over since the shares were computed. */
  private boolean yielded;

  /** Sizes that fitted nowhere in this round; nothing larger fits either. */
  private final List<Resources> failed = new ArrayList<>();

  /** Sizes for which no victims were found in this round. */
  private final List<Resources> withoutVictims = new ArrayList<>();

  QueueStep(RoundContext round) {
    this.round = round;
    this.components = round.components();
  }

  void run(Urgency urgency) {
    Set<Shape> limited = new HashSet<>();
    boolean again = true;
    while (again) {
      fair = new FairShares(round.state(), components.policy());
      yielded = false;
      int before = round.decisionCount();
      limited.addAll(placeAll(urgency));
      again = yielded && round.decisionCount() > before;
    }
    if (!limited.isEmpty()) {
      round.state().teams().forEach(t -> t.queue(urgency).unblockIf(limited::contains));
    }
  }

  /** Returns the shapes that were set aside for want of budget. */
  private Set<Shape> placeAll(Urgency urgency) {
    List<RunGroup> limited = new ArrayList<>();
    Optional<TeamState> team = neediest(urgency);
    while (team.isPresent() && !round.isAtDecisionLimit()) {
      RunQueue queue = team.get().queue(urgency);
      RunGroup group = queue.firstReady();
      if (!round.withinBudget(group.head())) {
        queue.block(group);
        limited.add(group);
      } else if (!place(queue, group.head())) {
        queue.block(group);
      }
      team = neediest(urgency);
    }
    return limited.stream().map(RunGroup::shape).collect(Collectors.toSet());
  }

  /** Returns the team of the lowest weighted share that has work ready and budget left. */
  private Optional<TeamState> neediest(Urgency urgency) {
    Resources total = round.state().total();
    TeamState best = null;
    double lowest = Double.POSITIVE_INFINITY;
    for (TeamState team : round.state().teams()) {
      if (!team.queue(urgency).hasReady() || !round.withinBudget(team, 1)) {
        continue;
      }
      WaitingUnit unit = team.queue(urgency).firstReady().head();
      if (urgency != Urgency.URGENT && !fair.allows(team, unit)) {
        yielded = true;
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
    boolean hopeless = isBeyondAny(failed, need);
    Optional<Decision> placed =
        hopeless ? Optional.empty() : components.placer().place(unit, round.nowMillis());
    if (placed.isPresent()) {
      queue.remove(unit);
      round.removeWaiting(unit);
      round.add(placed.get());
      return true;
    }
    if (!hopeless && !unit.first().inGang()) {
      failed.add(need);
    }
    return unit.urgency() == Urgency.URGENT && preempt(queue, unit);
  }

  private static boolean isBeyondAny(List<Resources> sizes, Resources need) {
    for (Resources size : sizes) {
      if (size.fitsIn(need)) {
        return true;
      }
    }
    return false;
  }

  private boolean preempt(RunQueue queue, WaitingUnit unit) {
    Resources need = unit.shape().resources();
    if (isBeyondAny(withoutVictims, need) || !components.preemptor().mayBenefit(unit)) {
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
