package io.cactusspring.core.model;

/**
 * A batch of runs, or a gang whose tasks start together.
 *
 * @param id unique id chosen by the caller or the entry host; equal ids denote the same submission
 * @param team team or open queue that the work is for
 * @param gang whether the tasks start all together or not at all
 * @param tasks number of tasks
 * @param task what each task needs
 * @since 0.1
 */
public record Submission(String id, String team, boolean gang, int tasks, TaskSpec task) {
  public static final int MAX_TASKS = 10_000;

  /**
   * @throws IllegalArgumentException if a field is out of range
   */
  public Submission {
    Arguments.checkName("submission id", id);
    Arguments.checkName("team", team);
    Arguments.checkRange("tasks", tasks, 1, MAX_TASKS);
    Arguments.checkPresent("task", task);
  }
}
