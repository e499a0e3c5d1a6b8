package io.cactusspring.benchmarks.cell;

import io.cactusspring.core.model.TaskId;
import io.cactusspring.core.placement.Decision;
import io.cactusspring.core.placement.PendingRun;
import io.cactusspring.core.placement.ReleaseReason;
import java.util.List;

/** Decides on placement in a virtual cell. */
sealed interface Scheduler permits PlacerScheduler, QueueScheduler {
  void enqueue(PendingRun run, long nowMillis);

  void release(TaskId task, ReleaseReason reason, long nowMillis);

  List<Decision> decide(long nowMillis);

  int waitingRuns();

  int waiting(String team);
}
