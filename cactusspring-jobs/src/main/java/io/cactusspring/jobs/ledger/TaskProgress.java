package io.cactusspring.jobs.ledger;

/**
 * What is stored about one task.
 *
 * @param done whether a run of it ended done
 * @param run number of its last run; 0 before the first
 * @param failures how many of its runs failed
 * @param executor the executor that its last run was sent to; empty if that run is over
 * @param bootMillis the boot of that executor
 * @param checkpoint where the next run resumes; empty for the beginning
 * @since 0.2
 */
public record TaskProgress(
    boolean done, int run, int failures, String executor, long bootMillis, String checkpoint) {
  public TaskProgress {
    executor = executor == null ? "" : executor;
    checkpoint = checkpoint == null ? "" : checkpoint;
  }
}
