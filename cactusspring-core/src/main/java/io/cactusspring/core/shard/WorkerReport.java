package io.cactusspring.core.shard;

import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.TaskId;
import java.util.List;

/**
 * What a worker's agent answers to a sync.
 *
 * @param incarnation id of the agent's start; a restarted agent runs nothing
 * @param running tasks that run
 * @param ended tasks that ended and have not been forgotten
 * @since 0.1
 */
public record WorkerReport(String incarnation, List<Running> running, List<Ended> ended) {
  /** One sync of so many asks for resources and usage of all tasks; the others name ids alone. */
  public static final int SYNCS_PER_FULL_LIST = 5;

  public WorkerReport {
    running = List.copyOf(running);
    ended = List.copyOf(ended);
  }

  /**
   * A running task.
   *
   * @param resources what it was started with; null for a renewed task that is named by its id
   *     alone
   * @param usage what it used when last measured; null if not known yet
   */
  public record Running(TaskId task, Resources resources, Resources usage) {}

  /** An ended task. */
  public record Ended(TaskId task, TaskResult result) {}
}
