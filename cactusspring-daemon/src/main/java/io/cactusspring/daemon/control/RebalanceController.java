package io.cactusspring.daemon.control;

import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.ShardId;
import io.cactusspring.core.shard.ShardOwner;
import io.cactusspring.daemon.cell.Cell;
import io.cactusspring.protocol.gen.ShardLoad;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;

/**
 * Gives runs that wait for room in this host's shards to shards where nothing waits. Guarded by the
 * lock of the cell.
 *
 * @since 0.1
 */
public final class RebalanceController {
  private static final int MAX_MOVES = 200;

  private final Cell cell;
  private final ShardController shards;
  private final LogController log;
  private final HomeChoice homes;

  public RebalanceController(
      Cell cell, ShardController shards, LogController log, HomeChoice homes) {
    this.cell = cell;
    this.shards = shards;
    this.log = log;
    this.homes = homes;
  }

  /** Moves what waits for room, if there is room elsewhere. */
  public void tick() {
    if (log.available()) {
      cell.locked(
          () -> {
            shards.owners().forEach(this::rebalance);
            return null;
          });
    }
  }

  private void rebalance(ShardOwner owner) {
    if (owner.placer().waitingRuns() == 0 || owner.isHoldingRuns()) {
      return;
    }
    Map<ShardId, ShardLoad> loads = homes.loads();
    Optional<ShardId> target =
        loads.keySet().stream()
            .filter(s -> !s.equals(owner.shard()) && loads.get(s).getWaitingRuns() == 0)
            .max(Comparator.comparingLong(s -> loads.get(s).getFreeMilliProcessors()));
    target.ifPresent(t -> owner.moveWaitingRuns(t, halfFree(loads.get(t)), MAX_MOVES));
  }

  /** Half of what is free, since the hint may be old and others may give work there too. */
  private static Resources halfFree(ShardLoad load) {
    return new Resources(
        load.getFreeMilliProcessors() / 2,
        load.getFreeMemoryMib() / 2,
        (load.getFreeAccelerators() + 1) / 2);
  }
}
