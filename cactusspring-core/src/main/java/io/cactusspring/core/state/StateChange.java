package io.cactusspring.core.state;

import io.cactusspring.core.config.Resolution;
import io.cactusspring.core.model.LogRecord;
import io.cactusspring.core.model.RunId;
import io.cactusspring.core.model.ShardId;
import java.util.List;

/**
 * What a record changed. Records that are void or repeated change nothing.
 *
 * @since 0.1
 */
public sealed interface StateChange {
  /** A note is in force. */
  record ConfigurationChanged(long revision) implements StateChange {}

  /** A note was read for the first time. */
  record NoteResolved(String id, Resolution resolution) implements StateChange {}

  /**
   * A shard has another owner.
   *
   * @param claim null if the shard is gone
   */
  record ClaimChanged(ShardId shard, Claim claim) implements StateChange {}

  /** A submission is accepted; its runs are pending. */
  record WorkAccepted(String submission, ShardId home) implements StateChange {}

  /** A submission id can never be accepted. */
  record SubmissionVoided(String id) implements StateChange {}

  /** Runs of the submission that are started are to be stopped; the others have ended. */
  record WorkCancelled(String submission, ShardId home) implements StateChange {}

  /** Attempts that were recorded in time by the shard's owner. */
  record RunsStarted(ShardId shard, List<LogRecord.Placement> placements) implements StateChange {
    public RunsStarted {
      placements = List.copyOf(placements);
    }
  }

  /** Runs that ended, or are pending again where the outcome is null. */
  record RunsEnded(ShardId shard, List<LogRecord.End> ends) implements StateChange {
    public RunsEnded {
      ends = List.copyOf(ends);
    }
  }

  /** Pending runs have another home. */
  record WorkMoved(ShardId from, ShardId to, List<RunId> runs) implements StateChange {
    public WorkMoved {
      runs = List.copyOf(runs);
    }
  }

  /** The split of a team's upper limit is another. */
  record BudgetChanged(String team) implements StateChange {}

  /** The replicas wanted of a service, or their task, are others. */
  record ReplicasChanged(String service) implements StateChange {}
}
