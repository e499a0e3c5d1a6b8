package io.cactusspring.core.placement;

import io.cactusspring.core.model.Arguments;
import io.cactusspring.core.model.TaskId;
import io.cactusspring.core.model.TaskSpec;

/**
 * A task whose resources are committed on a worker.
 *
 * @param service whether the task is a replica of a service
 * @param inGang whether the task is a member of a gang; such a task is never preempted
 * @since 0.1
 */
public record CommittedTask(
    TaskId task, String team, TaskSpec spec, String worker, boolean service, boolean inGang) {
  /**
   * @throws IllegalArgumentException if a field is missing or malformed
   */
  public CommittedTask {
    Arguments.checkPresent("task", task);
    Arguments.checkName("team", team);
    Arguments.checkPresent("spec", spec);
    Arguments.checkPresent("worker", worker);
  }

  /** Creates a task that is not a member of a gang. */
  public CommittedTask(TaskId task, String team, TaskSpec spec, String worker, boolean service) {
    this(task, team, spec, worker, service, false);
  }
}
