package io.cactusspring.core.placement;

import io.cactusspring.core.model.RunId;
import java.util.HashSet;
import java.util.Set;

/**
 * The state and the helpers of a placer.
 *
 * @param preempted runs that were preempted once; they are spared from then on, until they end
 */
record PlacerParts(
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
    Pace pace) {

  static PlacerParts create(PlacementPolicy policy, PlacementRules rules) {
    ShardState state = new ShardState(policy, rules);
    RunTimes runTimes = new RunTimes(policy.durationFactor());
    Set<RunId> preempted = new HashSet<>();
    return new PlacerParts(
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
        new Pace());
  }
}
