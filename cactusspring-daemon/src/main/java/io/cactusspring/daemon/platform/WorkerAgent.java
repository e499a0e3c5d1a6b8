package io.cactusspring.daemon.platform;

import io.cactusspring.core.shard.OwnerCommand;
import io.cactusspring.core.shard.StartResult;
import io.vertx.core.Future;

/**
 * Calls to the agents that run on workers.
 *
 * @since 0.1
 */
public interface WorkerAgent {
  /** Starts a task under a lease. The returned future does not fail. */
  Future<StartResult> start(String address, long epoch, OwnerCommand.Start start);

  /**
   * Renews the leases of tasks, stops, checkpoints and forgets tasks, and lists those on the
   * worker. The returned future does not fail.
   */
  Future<SyncResult> sync(String address, long epoch, OwnerCommand.Sync sync);
}
