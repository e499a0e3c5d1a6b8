package io.cactusspring.core.state;

import io.cactusspring.core.config.Resolution;
import io.cactusspring.core.model.LogRecord;
import io.cactusspring.core.model.RunId;
import io.cactusspring.core.model.ShardId;
import java.util.List;

/**
 * A state change made by a record. Void and repeated records change nothing.
 *
 * @since 0.1
 */
public sealed interface StateChange {
  /** A note took effect; the configuration has a new revision. */
  record ConfigurationChanged(long revision) implements StateChange {}

  /** A note was read for the first time. */
  record NoteResolved(String id, Resolution resolution) implements StateChange {}

  /**
   * A shard has a new owner, or its claim was removed because its zone changed.
   *
   * @param claim the new claim; null if the claim was removed
   */
  record ClaimChanged(ShardId shard, Claim claim) implements StateChange {}

  /** A submission is accepted; its runs are pending. */
  record WorkAccepted(String submission, ShardId home) implements StateChange {}

  /** A submission id can never be accepted. */
  record SubmissionVoided(String id) implements StateChange {}

  /** A submission is cancelled: its started runs are to be stopped, the others have ended. */
  record WorkCancelled(String submission, ShardId home) implements StateChange {}

  /** Attempts whose start was recorded by the shard's current owner. */
  record RunsStarted(ShardId shard, List<LogRecord.Placement> placements) implements StateChange {
    public RunsStarted {
      placements = List.copyOf(placements);
    }
  }

  /** Runs that ended; a run whose outcome is null is pending again. */
  record RunsEnded(ShardId shard, List<LogRecord.End> ends) implements StateChange {
    public RunsEnded {
      ends = List.copyOf(ends);
    }
  }

  /** Pending runs moved to another home shard. */
  record WorkMoved(ShardId from, ShardId to, List<RunId> runs) implements StateChange {
    public WorkMoved {
      runs = List.copyOf(runs);
    }
  }

  /** The split of a team's upper limit changed. */
  record BudgetChanged(String team) implements StateChange {}

  /** The number of replicas of a service, their team or their task changed. */
  record ReplicasChanged(String service) implements StateChange {}
}
