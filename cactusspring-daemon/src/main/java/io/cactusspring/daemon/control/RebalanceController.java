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
 * Moves runs that wait for capacity in this host's shards to shards without waiting runs. Guarded
 * by the lock of the cell.
 *
 * @since 0.1
 */
public final class RebalanceController {
  private static final int MAX_MOVES = 200;

  private final Cell cell;
  private final ShardController shards;
  private final LogController log;
  private final HomeShardSelector homeSelector;

  public RebalanceController(
      Cell cell, ShardController shards, LogController log, HomeShardSelector homeSelector) {
    this.cell = cell;
    this.shards = shards;
    this.log = log;
    this.homeSelector = homeSelector;
  }

  /**
   * Moves waiting runs to the shard with the most free processors among those without waiting runs.
   * Does nothing while the log is unavailable.
   */
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
    Map<ShardId, ShardLoad> loads = homeSelector.loads();
    Optional<ShardId> target =
        loads.keySet().stream()
            .filter(s -> !s.equals(owner.shard()) && loads.get(s).getWaitingRuns() == 0)
            .max(Comparator.comparingLong(s -> loads.get(s).getFreeMilliProcessors()));
    target.ifPresent(t -> owner.moveWaitingRuns(t, halfFree(loads.get(t)), MAX_MOVES));
  }

  /**
   * Returns half of a shard's free capacity, since the reported load may be outdated and other
   * hosts may move runs there at the same time.
   */
  private static Resources halfFree(ShardLoad load) {
    return new Resources(
        load.getFreeMilliProcessors() / 2,
        load.getFreeMemoryMib() / 2,
        (load.getFreeAccelerators() + 1) / 2);
  }
}
