package io.cactusspring.core.shard;

import io.cactusspring.core.model.LogRecord;
import io.cactusspring.core.model.TaskId;
import io.cactusspring.core.model.TaskSpec;
import java.util.List;

/**
 * What the owner of a shard wants done.
 *
 * @since 0.1
 */
public sealed interface OwnerCommand {
  /** Start a task under a lease. */
  record Start(String worker, TaskId task, TaskSpec spec) implements OwnerCommand {}

  /** Renew leases, stop, checkpoint and forget tasks, and list what the worker runs. */
  record Sync(
      String worker,
      List<TaskId> renew,
      List<TaskId> stop,
      List<TaskId> checkpoint,
      List<TaskId> forget)
      implements OwnerCommand {}

  /** Append a record to the platform's log. */
  record Append(LogRecord entry) implements OwnerCommand {}
}
