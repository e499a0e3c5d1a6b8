package io.cactusspring.jobs.ledger;

import java.util.List;

/**
 * What is stored about one step of one occurrence.
 *
 * @param done whether all its tasks are done; the tasks are left out then
 * @since 0.2
 */
public record StepProgress(int occurrence, int step, boolean done, List<TaskProgress> tasks) {
  public StepProgress {
    tasks = tasks == null ? List.of() : List.copyOf(tasks);
  }
}
