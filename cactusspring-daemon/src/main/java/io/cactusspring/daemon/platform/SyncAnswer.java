package io.cactusspring.daemon.platform;

import io.cactusspring.core.shard.WorkerReport;

/**
 * What became of a sync.
 *
 * @since 0.1
 */
public sealed interface SyncAnswer {
  /** The worker answered. */
  record Reported(WorkerReport report) implements SyncAnswer {}

  /** The worker has seen a higher epoch. */
  record Fenced() implements SyncAnswer {}

  /** No usable answer within the call's timeout. */
  record Failed() implements SyncAnswer {}
}
