package io.cactusspring.core.placement;

import io.cactusspring.core.model.RunId;
import java.util.HashSet;
import java.util.Set;

/**
 * State and collaborators of a placer.
 *
 * @param preempted runs that were preempted once; they are not preempted again until they end
 */
record PlacerComponents(
    PlacementPolicy policy,
    PlacementRules rules,
    ShardState state,
    WaitingRuns waiting,
    Claims claims,
    RunTimes runTimes,
    Set<RunId> preempted,
    UnitPlacer placer,
    Preemptor preemptor,
    ReservationPlanner planner,
    SearchIntervals searchIntervals) {

  static PlacerComponents create(PlacementPolicy policy, PlacementRules rules) {
    ShardState state = new ShardState(policy, rules);
    RunTimes runTimes = new RunTimes(policy.durationFactor());
    Set<RunId> preempted = new HashSet<>();
    return new PlacerComponents(
        policy,
        rules,
        state,
        new WaitingRuns(),
        new Claims(state.workers()),
        runTimes,
        preempted,
        new UnitPlacer(policy, rules, state, preempted),
        new Preemptor(state),
        new ReservationPlanner(state, runTimes),
        new SearchIntervals());
  }
}
