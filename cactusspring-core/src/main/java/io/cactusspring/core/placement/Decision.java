package io.cactusspring.core.placement;

import io.cactusspring.core.model.RunId;
import io.cactusspring.core.model.TaskId;
import java.util.List;

/**
 * Action that the caller of {@link Placer} carries out.
 *
 * @since 0.1
 */
public sealed interface Decision {
  /** Start the run on the worker; its resources are already committed there. */
  record Place(PendingRun run, String worker) implements Decision {}

  /** Start all members of a gang; their resources are already committed. */
  record PlaceGang(List<Place> members) implements Decision {
    public PlaceGang {
      members = List.copyOf(members);
    }
  }

  /** Checkpoint the victim; the beneficiary takes its capacity once it is released. */
  record Preempt(TaskId victim, RunId beneficiary) implements Decision {}

  /** The run or its gang does not fit even if all known workers are empty; it is dequeued. */
  record Infeasible(PendingRun run) implements Decision {}
}
