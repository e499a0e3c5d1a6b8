package io.cactusspring.jobs.ledger;

import java.util.List;

/**
 * Stored progress of one step of one occurrence of a job.
 *
 * @param occurrence index of the occurrence, from 0
 * @param step index of the step within the job
 * @param done whether all tasks of the step are done; {@code tasks} is empty then
 * @param tasks progress of each task, in the order of their indexes; null becomes empty
 * @since 0.2
 */
public record StepProgress(int occurrence, int step, boolean done, List<TaskProgress> tasks) {
  public StepProgress {
    tasks = tasks == null ? List.of() : List.copyOf(tasks);
  }
}
