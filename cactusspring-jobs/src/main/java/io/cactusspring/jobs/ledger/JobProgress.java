package io.cactusspring.jobs.ledger;

import io.cactusspring.jobs.model.JobState;
import java.util.List;

/**
 * The progress that an owner has stored for a job.
 *
 * @param term the owner's term
 * @param state the stored state
 * @param started whether any task of the job was ever started
 * @param steps progress of the steps that have begun; null becomes empty
 * @since 0.2
 */
public record JobProgress(long term, JobState state, boolean started, List<StepProgress> steps) {
  public JobProgress {
    steps = steps == null ? List.of() : List.copyOf(steps);
  }
}
