package io.cactusspring.jobs.ledger;

import io.cactusspring.jobs.model.JobReference;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.JobState;
import java.util.Optional;

/**
 * The stored state of one job: its submission, its cancellation and its newest progress record.
 *
 * @since 0.2
 */
public final class JobEntry {
  /** The queue and the organisation that a job belongs to. */
  public record Ownership(String queue, String organisation) {}

  private final String id;
  private final RecordLocations locations = new RecordLocations();
  private JobSpec spec;
  private boolean cancelled;
  private StoredProgress progress;

  public JobEntry(String id) {
    this.id = id;
  }

  /** Returns an entry of a job that was just submitted. */
  public static JobEntry submitted(JobSpec spec) {
    JobEntry entry = new JobEntry(spec.id());
    entry.applySubmission(spec);
    return entry;
  }

  public String id() {
    return id;
  }

  /** Returns where the records of the job are stored. */
  public RecordLocations locations() {
    return locations;
  }

  /** Returns the submitted job; empty if it was not read, or was deleted after the job's end. */
  public Optional<JobSpec> spec() {
    return Optional.ofNullable(spec);
  }

  /** Returns whether a cancellation record has been applied. */
  public boolean cancelled() {
    return cancelled;
  }

  /**
   * Decodes the newest progress record, including its steps; empty if no owner has stored progress.
   */
  public Optional<JobProgress> progress() {
    return Optional.ofNullable(progress).map(p -> p.decode(id));
  }

  /** Returns whether the job exists: its submission is stored, or was before the job's end. */
  public boolean exists() {
    return ownership().isPresent();
  }

  /** Returns whether the job exists and a caller may see it. */
  public boolean isVisibleTo(JobReference reference) {
    return ownership().filter(o -> reference.matches(o.queue, o.organisation)).isPresent();
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
    return cancelled ? JobState.CANCELLED : stored;
  }

  /**
   * Returns the name of the job's queue and its organisation; empty if neither the submission nor a
   * final progress record was applied.
   */
  public Optional<Ownership> ownership() {
    if (spec != null) {
      return Optional.of(new Ownership(spec.queue().name(), spec.organisation()));
    }
    return isFinalStateStored()
        ? Optional.of(new Ownership(progress.queue(), progress.organisation()))
        : Optional.empty();
  }

  /** Returns whether an owner has stored a final state of the job. */
  public boolean isFinalStateStored() {
    return progress != null && progress.state().isFinal();
  }

  /** Returns whether the job is not final and none of its tasks has been started. */
  public boolean isUnstarted() {
    return !state().isFinal() && (progress == null || !progress.started());
  }

  /** Applies a submission record; repeated submissions of the job are ignored. */
  void applySubmission(JobSpec submitted) {
    if (spec == null) {
      spec = submitted;
    }
  }

  void applyCancellation() {
    cancelled = true;
  }

  /** Applies a progress record that a lane holds; the newest one counts. */
  void applyProgress(StoredProgress stored, int lane) {
    if (progress == null || StoredProgress.OLDEST_FIRST.compare(stored, progress) > 0) {
      progress = stored;
      locations.newestProgressInLane(lane);
    } else {
      locations.progressInLane(lane);
    }
  }
}
