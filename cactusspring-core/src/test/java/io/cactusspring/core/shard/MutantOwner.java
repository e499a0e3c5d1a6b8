package io.cactusspring.core.shard;

import io.cactusspring.core.model.ShardId;
import io.cactusspring.core.placement.Placer;
import io.cactusspring.core.state.ClusterState;

/** An owner with one guard disabled, to check that tests detect the missing guard. */
public final class MutantOwner extends ShardOwner {
  private final boolean recordsBeforeStart;
  private final boolean keepsBudget;

  public MutantOwner(
      ShardId shard,
      long epoch,
      OwnerSettings settings,
      Placer placer,
      ClusterState state,
      long nowMillis,
      boolean recordsBeforeStart,
      boolean keepsBudget) {
    super(shard, epoch, settings, placer, state, nowMillis);
    this.recordsBeforeStart = recordsBeforeStart;
    this.keepsBudget = keepsBudget;
  }

  @Override
  protected int budget(String team) {
    return keepsBudget ? super.budget(team) : Integer.MAX_VALUE / 2;
  }

  @Override
  protected boolean startable(RunEntry entry, boolean logAvailable) {
    boolean isPlaced = entry.phase() == RunEntry.Phase.RECORDING;
    return super.startable(entry, logAvailable) || !recordsBeforeStart && isPlaced;
  }
}
