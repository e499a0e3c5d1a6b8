package io.cactusspring.jobs.ledger;

/**
 * Stored progress of one task.
 *
 * @param done whether the task has completed successfully
 * @param run number of the last run; 0 before the first run
 * @param failures number of failed runs
 * @param executor id of the executor that the last run was sent to; empty if that run has ended
 * @param bootMillis Unix milliseconds of the boot of that executor
 * @param checkpoint checkpoint from which the next run resumes; empty to start from the beginning
 * @since 0.2
 */
public record TaskProgress(
    boolean done, int run, int failures, String executor, long bootMillis, String checkpoint) {
  public TaskProgress {
    executor = executor == null ? "" : executor;
    checkpoint = checkpoint == null ? "" : checkpoint;
  }
}
