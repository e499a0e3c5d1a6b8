package io.cactusspring.core.model;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/**
 * A record of the platform's log. The order of offsets decides: every entry host replays the same
 * records and reaches the same state.
 *
 * @since 0.1
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = LogRecord.NoteApplied.class, name = "note"),
  @JsonSubTypes.Type(value = LogRecord.ShardClaimed.class, name = "claim"),
  @JsonSubTypes.Type(value = LogRecord.WorkSubmitted.class, name = "submit"),
  @JsonSubTypes.Type(value = LogRecord.SubmissionVoided.class, name = "void"),
  @JsonSubTypes.Type(value = LogRecord.WorkCancelled.class, name = "cancel"),
  @JsonSubTypes.Type(value = LogRecord.AttemptsStarted.class, name = "start"),
  @JsonSubTypes.Type(value = LogRecord.RunsEnded.class, name = "end"),
  @JsonSubTypes.Type(value = LogRecord.WorkMoved.class, name = "move"),
  @JsonSubTypes.Type(value = LogRecord.BudgetMoved.class, name = "budget"),
  @JsonSubTypes.Type(value = LogRecord.SnapshotPart.class, name = "snapshot")
})
public sealed interface LogRecord {
  int MAX_SNAPSHOT_PARTS = 4_096;

  /** A release note; takes effect only if valid against what precedes it. */
  record NoteApplied(ReleaseNote note) implements LogRecord {
    public NoteApplied {
      Arguments.checkPresent("note", note);
    }
  }

  /**
   * An entry host takes a shard.
   *
   * @param owner name of the entry host
   * @param incarnation id of the owner's process start
   * @param supersedes epoch that the claim replaces, 0 for none; any other value voids the claim
   */
  record ShardClaimed(ShardId shard, String owner, String incarnation, long supersedes)
      implements LogRecord {
    public ShardClaimed {
      Arguments.checkPresent("shard", shard);
      Arguments.checkPresent("owner", owner);
      Arguments.checkPresent("incarnation", incarnation);
    }
  }

  /** Work is accepted, if no record with this id precedes it. The home shard alone starts it. */
  record WorkSubmitted(Submission submission, ShardId home) implements LogRecord {
    public WorkSubmitted {
      Arguments.checkPresent("submission", submission);
      Arguments.checkPresent("home", home);
    }
  }

  /** The submission is not accepted, if this record precedes it. */
  record SubmissionVoided(String submission) implements LogRecord {
    public SubmissionVoided {
      Arguments.checkPresent("submission", submission);
    }
  }

  /** Runs of a submission that have not ended are to end as cancelled. */
  record WorkCancelled(String submission) implements LogRecord {
    public WorkCancelled {
      Arguments.checkPresent("submission", submission);
    }
  }

  /**
   * Attempts about to start on workers.
   *
   * @param epoch epoch of the claim under which they start; others are ignored
   */
  record AttemptsStarted(ShardId shard, long epoch, List<Placement> placements)
      implements LogRecord {
    public AttemptsStarted {
      Arguments.checkPresent("shard", shard);
      placements = List.copyOf(placements);
    }
  }

  /** A task and the worker chosen for it. */
  record Placement(TaskId task, String worker) {
    public Placement {
      Arguments.checkPresent("task", task);
      Arguments.checkPresent("worker", worker);
    }
  }

  /**
   * Runs that have ended, or attempts that ended and leave the run pending again.
   *
   * @param epoch epoch of the claim under which the owner saw the end; others are ignored
   */
  record RunsEnded(ShardId shard, long epoch, List<End> ends) implements LogRecord {
    public RunsEnded {
      Arguments.checkPresent("shard", shard);
      ends = List.copyOf(ends);
    }
  }

  /**
   * The end of one attempt.
   *
   * @param outcome null if the run is pending again
   * @param notRun whether the attempt certainly never ran, as when the worker refused its start; a
   *     run that is not idempotent is pending again only then
   */
  record End(TaskId task, Outcome outcome, boolean notRun) {
    public End {
      Arguments.checkPresent("task", task);
    }

    /** An attempt that ran, or may have run. */
    public End(TaskId task, Outcome outcome) {
      this(task, outcome, false);
    }

    /** An attempt that certainly never ran; its run is pending again. */
    public static End notRun(TaskId task) {
      return new End(task, null, true);
    }
  }

  /** The owner of a shard gives runs that have not started to another shard. */
  record WorkMoved(ShardId from, long epoch, ShardId to, List<RunId> runs) implements LogRecord {
    public WorkMoved {
      Arguments.checkPresent("from", from);
      Arguments.checkPresent("to", to);
      runs = List.copyOf(runs);
    }
  }

  /**
   * Part of a team's upper limit moves between two accounts. The giver has stopped using it before
   * the record is appended; a record that would take more than the giver holds moves nothing.
   *
   * @param id unique id; a second record with the same id moves nothing
   * @param limitRevision revision of the team's item for which the amount was computed
   * @param epoch epoch of the claim under which a shard gives, so that a replaced owner's record
   *     takes nothing from its successor; 0 if an entry host gives
   */
  record BudgetMoved(
      String id,
      String team,
      BudgetAccount from,
      BudgetAccount to,
      int amount,
      long limitRevision,
      long epoch)
      implements LogRecord {
    public BudgetMoved {
      Arguments.checkPresent("id", id);
      Arguments.checkPresent("team", team);
      Arguments.checkPresent("from", from);
      Arguments.checkPresent("to", to);
      Arguments.checkRange("amount", amount, 1, Integer.MAX_VALUE);
    }
  }

  /**
   * One part of a snapshot.
   *
   * @param id id common to the parts
   * @param covers offset of the first record that the snapshot does not cover
   * @param data a piece of the encoded state
   */
  record SnapshotPart(String id, long covers, int part, int parts, String data)
      implements LogRecord {
    public SnapshotPart {
      Arguments.checkPresent("id", id);
      Arguments.checkPresent("data", data);
      Arguments.checkRange("parts", parts, 1, MAX_SNAPSHOT_PARTS);
      Arguments.checkRange("part", part, 0, parts - 1L);
    }
  }
}
