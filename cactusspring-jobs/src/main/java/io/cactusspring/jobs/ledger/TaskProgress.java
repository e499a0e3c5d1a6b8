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
 * @param crashes number of executors that crashed under a run of the task, which may be the cause
 * @param earlyCrashes number of those crashes that came shortly after the start of the task
 * @param otherCrashes number of other ends of runs that bound how often the task may start again
 * @since 0.2
 */
public record TaskProgress(
    boolean done,
    int run,
    int failures,
    String executor,
    long bootMillis,
    String checkpoint,
    int crashes,
    int earlyCrashes,
    int otherCrashes) {
  /** Creates the progress of a task under which no executor has crashed. */
  public TaskProgress(
      boolean done, int run, int failures, String executor, long bootMillis, String checkpoint) {
    this(done, run, failures, executor, bootMillis, checkpoint, 0, 0, 0);
  }

  public TaskProgress {
    executor = executor == null ? "" : executor;
    checkpoint = checkpoint == null ? "" : checkpoint;
  }
}
