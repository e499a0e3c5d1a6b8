package io.cactusspring.daemon.platform;

import io.cactusspring.core.shard.WorkerReport;

/**
 * Result of a sync call to a worker.
 *
 * @since 0.1
 */
public sealed interface SyncResult {
  /** The worker responded with a report. */
  record Reported(WorkerReport report) implements SyncResult {}

  /** The worker has seen a higher epoch. */
  record Fenced() implements SyncResult {}

  /** The call had no usable response within its timeout. */
  record Failed() implements SyncResult {}
}
