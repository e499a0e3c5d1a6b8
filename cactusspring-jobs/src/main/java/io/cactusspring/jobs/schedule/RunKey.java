package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.model.TaskId;

/**
 * Identifies one attempt of a task.
 *
 * @param number the number of the attempt, higher for each further run of the task
 * @since 0.2
 */
public record RunKey(TaskId task, int number) {
  @Override
  public String toString() {
    return task + "#" + number;
  }
}
