package io.cactusspring.core.shard;

import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.TaskId;
import java.util.List;

/**
 * Response of a worker's agent to a sync.
 *
 * @param incarnation id of the agent's start; a restarted agent runs nothing
 * @param running tasks that run
 * @param ended tasks that ended and have not been forgotten
 * @since 0.1
 */
public record WorkerReport(String incarnation, List<Running> running, List<Ended> ended) {
  /** One in this many syncs requests resources and usage of all tasks; the others, only ids. */
  public static final int SYNCS_PER_FULL_LIST = 5;

  public WorkerReport {
    running = List.copyOf(running);
    ended = List.copyOf(ended);
  }

  /**
   * A running task.
   *
   * @param resources resources the task was started with; null for a renewed task that is listed by
   *     its id only
   * @param usage last measured usage; null if not measured yet
   */
  public record Running(TaskId task, Resources resources, Resources usage) {}

  /** An ended task. */
  public record Ended(TaskId task, TaskResult result) {}
}
