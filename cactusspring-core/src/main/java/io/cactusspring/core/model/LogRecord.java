package io.cactusspring.core.model;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/**
 * A record of the platform's log. Records take effect in the order of their offsets, so that every
 * entry host that replays them reaches the same state.
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

  /** A release note; takes effect only if valid for the configuration that precedes it. */
  record NoteApplied(ReleaseNote note) implements LogRecord {
    public NoteApplied {
      Arguments.checkPresent("note", note);
    }
  }

  /**
   * An entry host claims the ownership of a shard.
   *
   * @param owner name of the entry host
   * @param incarnation id of the owner's process start
   * @param supersedes epoch of the claim that this one replaces, 0 if there is none; the claim is
   *     void if this is not the epoch in force
   */
  record ShardClaimed(ShardId shard, String owner, String incarnation, long supersedes)
      implements LogRecord {
    public ShardClaimed {
      Arguments.checkPresent("shard", shard);
      Arguments.checkPresent("owner", owner);
      Arguments.checkPresent("incarnation", incarnation);
    }
  }

  /**
   * Accepts a submission unless a record with the same submission id precedes it. Only the home
   * shard starts its runs.
   */
  record WorkSubmitted(Submission submission, ShardId home) implements LogRecord {
    public WorkSubmitted {
      Arguments.checkPresent("submission", submission);
      Arguments.checkPresent("home", home);
    }
  }

  /** Rejects the submission if this record precedes its {@link WorkSubmitted}. */
  record SubmissionVoided(String submission) implements LogRecord {
    public SubmissionVoided {
      Arguments.checkPresent("submission", submission);
    }
  }

  /** Cancels the runs of a submission that have not ended. */
  record WorkCancelled(String submission) implements LogRecord {
    public WorkCancelled {
      Arguments.checkPresent("submission", submission);
    }
  }

  /**
   * Attempts about to start on workers.
   *
   * @param epoch epoch of the claim under which they start; a record of another epoch is ignored
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
   * @param epoch epoch of the claim under which the owner observed the end; a record of another
   *     epoch is ignored
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
   * @param notRun whether the attempt certainly never ran, for example because the worker refused
   *     its start; a run that is not idempotent becomes pending again only in this case
   */
  record End(TaskId task, Outcome outcome, boolean notRun) {
    public End {
      Arguments.checkPresent("task", task);
    }

    /** Creates the end of an attempt that ran or may have run. */
    public End(TaskId task, Outcome outcome) {
      this(task, outcome, false);
    }

    /** Returns the end of an attempt that certainly never ran; its run is pending again. */
    public static End notRun(TaskId task) {
      return new End(task, null, true);
    }
  }

  /** The owner of a shard hands over runs that have not started to another shard. */
  record WorkMoved(ShardId from, long epoch, ShardId to, List<RunId> runs) implements LogRecord {
    public WorkMoved {
      Arguments.checkPresent("from", from);
      Arguments.checkPresent("to", to);
      runs = List.copyOf(runs);
    }
  }

  /**
   * Moves part of a team's upper limit between two accounts. The holder of the source account stops
   * using the amount before it appends the record; a record whose amount exceeds what the source
   * account holds has no effect.
   *
   * @param id unique id; a later record with the same id has no effect
   * @param limitRevision revision of the team's item for which the amount was computed
   * @param epoch epoch of the claim under which a shard's owner appends the record, so that a
   *     replaced owner's record takes nothing from its successor; 0 if the source is an entry host
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
   * @param id id shared by all parts
   * @param covers offset of the first record that the snapshot does not cover
   * @param data this part of the encoded state
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
