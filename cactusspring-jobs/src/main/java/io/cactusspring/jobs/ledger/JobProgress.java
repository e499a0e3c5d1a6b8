package io.cactusspring.jobs.ledger;

import io.cactusspring.jobs.model.JobState;
import java.util.List;

/**
 * What an owner has stored about a job.
 *
 * @param term the owner's term
 * @param started whether a task was ever started
 * @param steps the steps that have begun
 * @since 0.2
 */
public record JobProgress(long term, JobState state, boolean started, List<StepProgress> steps) {
  public JobProgress {
    steps = steps == null ? List.of() : List.copyOf(steps);
  }
}
