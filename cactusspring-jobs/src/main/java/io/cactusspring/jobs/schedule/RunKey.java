package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.model.TaskId;

/**
 * Identifies one attempt of a task.
 *
 * @param number the attempt, counted up with each start of the task on an executor
 *
 * @since 0.2
 */
public record RunKey(TaskId task, int number) {
  @Override
  public String toString() {
    return task + "#" + number;
  }
}
