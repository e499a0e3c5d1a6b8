package io.cactusspring.core.placement;

import io.cactusspring.core.model.RunId;
import io.cactusspring.core.model.TaskId;
import java.util.List;

/**
 * What the caller is to do.
 *
 * @since 0.1
 */
public sealed interface Decision {
  /** Start the run on the worker; its resources are committed there already. */
  record Place(PendingRun run, String worker) implements Decision {}

  /** Start all members of a gang; their resources are committed already. */
  record PlaceGang(List<Place> members) implements Decision {
    public PlaceGang {
      members = List.copyOf(members);
    }
  }

  /** Checkpoint the victim; once it is released the beneficiary takes its room. */
  record Preempt(TaskId victim, RunId beneficiary) implements Decision {}

  /** The run can't fit on any known worker, not even on an empty one; it no longer waits. */
  record Infeasible(PendingRun run) implements Decision {}
}
