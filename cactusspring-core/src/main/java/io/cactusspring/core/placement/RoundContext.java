package io.cactusspring.core.placement;

import io.cactusspring.core.model.Resources;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;

/** State shared by the steps of one decision round: time, budgets and decisions so far. */
final class RoundContext {
  private final PlacerComponents components;
  private final long nowMillis;
  private final int maxDecisions;
  private final ToIntFunction<String> budgetOfTeam;
  private final Map<String, Integer> budgets = new HashMap<>();
  private final List<Decision> decisions = new ArrayList<>();

  RoundContext(
      PlacerComponents components,
      long nowMillis,
      int maxDecisions,
      ToIntFunction<String> budgetOfTeam) {
    this.components = components;
    this.nowMillis = nowMillis;
    this.maxDecisions = maxDecisions;
    this.budgetOfTeam = budgetOfTeam;
  }

  PlacerComponents components() {
    return components;
  }

  ShardState state() {
    return components.state();
  }

  Workers workers() {
    return components.state().workers();
  }

  long nowMillis() {
    return nowMillis;
  }

  boolean isAtDecisionLimit() {
    return decisions.size() >= maxDecisions;
  }

  int decisionCount() {
    return decisions.size();
  }

  boolean allowsMore(int more) {
    return decisions.size() + more <= maxDecisions;
  }

  void add(Decision decision) {
    decisions.add(decision);
  }

  List<Decision> decisions() {
    return List.copyOf(decisions);
  }

  boolean withinBudget(WaitingUnit unit) {
    return withinBudget(state().team(unit.team()), unit.size());
  }

  boolean withinBudget(TeamState team, int starting) {
    return components.rules().withinBudget(team.running(), starting, budget(team));
  }

  private int budget(TeamState team) {
    return budgets.computeIfAbsent(team.name(), this::requestBudget);
  }

  private int requestBudget(String team) {
    int budget = budgetOfTeam.applyAsInt(team);
    state().team(team).setLastBudget(budget);
    return budget;
  }

  /** Removes a unit from the waiting runs and from the waiting count of its team. */
  void removeWaiting(WaitingUnit unit) {
    components.waiting().removeUnit(unit);
    state().team(unit.team()).addWaiting(-unit.size());
  }

  /** Returns the queue that a unit belongs to. */
  RunQueue queueOf(WaitingUnit unit) {
    return state().team(unit.team()).queue(unit.urgency());
  }

  /** Returns the teams with waiting runs, lowest weighted share first. */
  List<TeamState> waitingTeamsByShare() {
    Resources total = state().total();
    List<TeamState> teams = new ArrayList<>();
    for (TeamState team : state().teams()) {
      if (team.waiting() > 0) {
        teams.add(team);
      }
    }
    teams.sort(Comparator.comparingDouble(t -> t.weightedShare(total)));
    return teams;
  }

  /** Adds the decision to checkpoint a victim for a beneficiary. */
  void preempt(TaskState victim, PendingRun beneficiary) {
    victim.markVictim();
    state().team(victim.committed().team()).markVictim(victim);
    components.preempted().add(victim.id().run());
    decisions.add(new Decision.Preempt(victim.id(), beneficiary.run()));
  }
}
