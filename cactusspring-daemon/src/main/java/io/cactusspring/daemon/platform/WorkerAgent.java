package io.cactusspring.daemon.platform;

import io.cactusspring.core.shard.OwnerCommand;
import io.cactusspring.core.shard.StartResult;
import io.vertx.core.Future;

/**
 * The agents of the workers.
 *
 * @since 0.1
 */
public interface WorkerAgent {
  /** Starts a task under a lease; never fails. */
  Future<StartResult> start(String address, long epoch, OwnerCommand.Start start);

  /** Renews, stops, checkpoints, forgets and lists; never fails. */
  Future<SyncAnswer> sync(String address, long epoch, OwnerCommand.Sync sync);
}
