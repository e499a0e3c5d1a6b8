package io.cactusspring.jobs.ledger;

import java.util.List;

/**
 * Stored progress of one step of one occurrence of a job.
 *
 * @param occurrence index of the occurrence, from 0
 * @param step index of the step within the job
 * @param done whether all tasks of the step are done; {@code tasks} is empty then
 * @param tasks progress of each task, in the order of their indexes; null becomes empty; the
 *     failures and crashes of a gang are in that of its first member
 * @param failedRun number of the gang's last run that was counted as failed; 0 if there is none, or
 *     if an earlier version has stored the progress
 * @param crashedRun number of the gang's last run that was counted as crashed; 0 as above
 * @since 0.2
 */
public record StepProgress(
    int occurrence,
    int step,
    boolean done,
    List<TaskProgress> tasks,
    int failedRun,
    int crashedRun) {
  /** Creates the progress of a step that is done, or of which no run of a gang was counted. */
  public StepProgress(int occurrence, int step, boolean done, List<TaskProgress> tasks) {
    this(occurrence, step, done, tasks, 0, 0);
  }

  public StepProgress {
    tasks = tasks == null ? List.of() : List.copyOf(tasks);
  }
}
