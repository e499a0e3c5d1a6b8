package io.cactusspring.jobs.ledger;

import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.JobState;
import java.util.Optional;

/**
 * What the ledger holds about one job.
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

  /** Returns the submission; empty while only a cancellation was read. */
  public Optional<JobSpec> spec() {
    return Optional.ofNullable(spec);
  }

  /** Returns the offset of the record that first submitted the job. */
  public long specOffset() {
    return specOffset;
  }

  public boolean cancelled() {
    return cancelOffset != NO_OFFSET;
  }

  /** Reads what an owner has stored, with all steps. */
  public Optional<JobProgress> progress() {
    return Optional.ofNullable(progress).map(p -> p.decode(id));
  }

  /** Returns what a caller is told. */
  public JobState state() {
    JobState stored = progress == null ? JobState.PENDING : progress.state();
    if (stored.isFinal()) {
      return stored;
    }
    return cancelled() ? JobState.CANCELLED : stored;
  }

  /** Returns whether an owner has stored the job's end. */
  public boolean isFinalStateStored() {
    return progress != null && progress.state().isFinal();
  }

  /** Returns whether the job waits for its first task. */
  public boolean isUnstarted() {
    return !state().isFinal() && (progress == null || !progress.started());
  }

  /** Takes the first submission; a repeated one is the same job. */
  boolean applySubmission(JobSpec submitted, long offset) {
    if (spec != null) {
      return false;
    }
    spec = submitted;
    specOffset = offset;
    return true;
  }

  boolean applyCancellation(long offset) {
    if (cancelled()) {
      return false;
    }
    cancelOffset = offset;
    return true;
  }

  void applyProgress(StoredProgress stored, long offset) {
    if (offset > progressOffset) {
      progress = stored;
      progressOffset = offset;
    }
  }
}
