package io.cactusspring.jobs.ledger;

import io.cactusspring.jobs.model.JobState;
import java.util.List;

/**
 * The progress that an owner has stored for a job.
 *
 * @param term the owner's term
 * @param version increases with each record of the term
 * @param state the stored state
 * @param started whether any task of the job was ever started
 * @param steps progress of the steps that have begun; null becomes empty
 * @param queue name of the job's queue, set once the state is final; null becomes empty
 * @param organisation the job's organisation, set once the state is final; null becomes empty
 * @since 0.2
 */
public record JobProgress(
    long term,
    long version,
    JobState state,
    boolean started,
    List<StepProgress> steps,
    String queue,
    String organisation) {
  public JobProgress {
    steps = steps == null ? List.of() : List.copyOf(steps);
    queue = queue == null ? "" : queue;
    organisation = organisation == null ? "" : organisation;
  }
}
