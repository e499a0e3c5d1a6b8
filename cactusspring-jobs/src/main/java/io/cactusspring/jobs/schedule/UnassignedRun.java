package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.ledger.TaskProgress;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * A run that may be active on an executor although no task waits for its end: its job has ended, or
 * its gang is done.
 *
 * @param executor id of the executor
 * @param bootMillis Unix milliseconds of the boot of the executor that the run was sent to
 */
record UnassignedRun(RunKey key, String executor, long bootMillis) {
  /** A task without such a run. */
  private static final TaskProgress NONE = new TaskProgress(true, 0, 0, "", 0, "");

  /** Returns whether stored progress names a run for whose end its task does not wait. */
  static boolean isNamedBy(TaskProgress stored) {
    return stored.done() && !stored.executor().isEmpty();
  }

  private TaskProgress progress() {
    return new TaskProgress(true, key.number(), 0, executor, bootMillis, "");
  }

  /**
   * Returns the progress to store for the tasks of one step that is done or not needed any more.
   */
  static List<TaskProgress> progress(List<UnassignedRun> runs) {
    Map<Integer, TaskProgress> byIndex =
        runs.stream()
            .collect(
                Collectors.toMap(r -> r.key.task().index(), UnassignedRun::progress, (a, b) -> b));
    int tasks = byIndex.keySet().stream().mapToInt(i -> i + 1).max().orElse(0);
    return IntStream.range(0, tasks).mapToObj(i -> byIndex.getOrDefault(i, NONE)).toList();
  }
}
