package io.cactusspring.core.shard;

import io.cactusspring.core.model.LogRecord;
import io.cactusspring.core.model.TaskId;
import io.cactusspring.core.model.TaskSpec;
import java.util.List;

/**
 * A command that the owner of a shard issues to its caller.
 *
 * @since 0.1
 */
public sealed interface OwnerCommand {
  /** Starts a task under a lease. */
  record Start(String worker, TaskId task, TaskSpec spec) implements OwnerCommand {}

  /** Renews leases, stops, checkpoints and forgets tasks, and lists what the worker runs. */
  record Sync(
      String worker,
      List<TaskId> renew,
      List<TaskId> stop,
      List<TaskId> checkpoint,
      List<TaskId> forget)
      implements OwnerCommand {}

  /** Appends a record to the platform's log. */
  record Append(LogRecord entry) implements OwnerCommand {}
}
