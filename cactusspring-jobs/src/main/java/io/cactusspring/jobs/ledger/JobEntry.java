package io.cactusspring.jobs.ledger;

import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.JobState;
import java.util.Optional;

/**
 * The ledger state of one job: its submission, its cancellation and its newest progress record.
 *
 * @since 0.2
 */
public final class JobEntry {
  private static final long NO_OFFSET = -1;

  private final String id;
  private JobSpec spec;
  private long specOffset = NO_OFFSET;
  private long cancelOffset = NO_OFFSET;
  private StoredProgress progress;
  private long progressOffset = NO_OFFSET;

  JobEntry(String id) {
    this.id = id;
  }

  public String id() {
    return id;
  }

  /**
   * Returns the submitted job; empty if only a cancellation or progress record has been applied
   * yet.
   */
  public Optional<JobSpec> spec() {
    return Optional.ofNullable(spec);
  }

  /** Returns the offset of the first submission record, or -1 if none has been applied yet. */
  public long specOffset() {
    return specOffset;
  }

  /** Returns whether a cancellation record has been applied. */
  public boolean cancelled() {
    return cancelOffset != NO_OFFSET;
  }

  /**
   * Decodes the newest progress record, including its steps; empty if no owner has stored progress.
   */
  public Optional<JobProgress> progress() {
    return Optional.ofNullable(progress).map(p -> p.decode(id));
  }

  /**
   * Returns the state that callers see: the stored state if it is final, otherwise {@link
   * JobState#CANCELLED} once a cancellation record has been applied, otherwise the stored state.
   */
  public JobState state() {
    JobState stored = progress == null ? JobState.PENDING : progress.state();
    if (stored.isFinal()) {
      return stored;
    }
    return cancelled() ? JobState.CANCELLED : stored;
  }

  /** Returns whether an owner has stored a final state of the job. */
  public boolean isFinalStateStored() {
    return progress != null && progress.state().isFinal();
  }

  /** Returns whether the job is not final and none of its tasks has been started. */
  public boolean isUnstarted() {
    return !state().isFinal() && (progress == null || !progress.started());
  }

  /**
   * Applies a submission record; repeated submissions of the job are ignored.
   *
   * @return whether this was the first submission
   */
  boolean applySubmission(JobSpec submitted, long offset) {
    if (spec != null) {
      return false;
    }
    spec = submitted;
    specOffset = offset;
    return true;
  }

  /**
   * Applies a cancellation record; repeated ones are ignored.
   *
   * @return whether this was the first cancellation
   */
  boolean applyCancellation(long offset) {
    if (cancelled()) {
      return false;
    }
    cancelOffset = offset;
    return true;
  }

  /** Applies a progress record unless a record with the same or a higher offset was applied. */
  void applyProgress(StoredProgress stored, long offset) {
    if (offset > progressOffset) {
      progress = stored;
      progressOffset = offset;
    }
  }
}
