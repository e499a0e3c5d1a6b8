package io.cactusspring.core.placement;

import io.cactusspring.core.model.Resources;

/**
 * Keeps teams near their shares while the shard is full: a team above its share starts nothing
 * while teams below theirs wait. Freed capacity stays idle for a short time instead, until enough
 * is free for a run of a team below its share.
 */
final class FairShares {
  private final ShardState state;
  private final PlacementPolicy policy;
  private final Resources total;

  /** Whether the usage of processors or memory has reached the threshold for shares to apply. */
  private final boolean full;

  /** Mean dominant share per unit of weight, over the teams with waiting runs. */
  private final double meanWeightedShare;

  /** Number of teams with waiting runs and unused budget that are below the mean. */
  private final long teamsBelowMean;

  FairShares(ShardState state, PlacementPolicy policy) {
    this.state = state;
    this.policy = policy;
    this.total = state.total();
    this.full = usedFraction() >= policy.fullThreshold();
    this.meanWeightedShare = full ? meanWeightedShare() : Double.POSITIVE_INFINITY;
    this.teamsBelowMean = full ? countTeamsBelowMean() : 0;
  }

  /** Ignores accelerators: runs that need none can still start when all are in use. */
  private double usedFraction() {
    Resources used = state.workers().committed();
    return new Resources(used.milliProcessors(), used.memoryMib(), 0).dominantShareOf(total);
  }

  private double meanWeightedShare() {
    double shares = 0;
    long weights = 0;
    for (TeamState team : state.teams()) {
      if (team.waiting() > 0) {
        shares += team.dominantShare(total);
        weights += team.share();
      }
    }
    return weights == 0 ? Double.POSITIVE_INFINITY : shares / weights;
  }

  private long countTeamsBelowMean() {
    long count = 0;
    for (TeamState team : state.teams()) {
      boolean withinBudget = team.running() < team.lastBudget();
      if (team.waiting() > 0 && withinBudget && team.weightedShare(total) < meanWeightedShare) {
        count++;
      }
    }
    return count;
  }

  /** Returns whether a team may start a unit now; half of the unit may exceed its share. */
  boolean allows(TeamState team, WaitingUnit unit) {
    if (!full || teamsBelowMean == 0) {
      return true;
    }
    double unitShare = unit.shape().resources().dominantShareOf(total) * unit.size();
    double weightedShare = (team.dominantShare(total) + unitShare / 2) / team.share();
    return weightedShare <= meanWeightedShare * (1 + policy.shareTolerance());
  }
}
