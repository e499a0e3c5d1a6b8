package io.cactusspring.soak;

import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.model.TaskId;
import io.cactusspring.jobs.port.ExecutorClient.ActiveRun;
import java.util.Optional;
import java.util.function.LongSupplier;

/** A run of a task on a stand-in executor. */
final class SoakTask {
  final TaskId id;
  final int run;
  private final StepSpec step;
  private final Progress progress;
  private final Optional<GangRun> gang;
  boolean ended;

  /** Creates a run of a task that works by itself. */
  SoakTask(TaskId id, int run, StepSpec step, Progress progress) {
    this(id, run, step, progress, Optional.empty());
  }

  /** Creates a member of a run of a gang. */
  SoakTask(TaskId id, int run, StepSpec step, GangRun gang) {
    this(id, run, step, gang, Optional.of(gang));
  }

  private SoakTask(TaskId id, int run, StepSpec step, Progress progress, Optional<GangRun> gang) {
    this.id = id;
    this.run = run;
    this.step = step;
    this.progress = progress;
    this.gang = gang;
  }

  /**
   * Progress of a run that works from its start on.
   *
   * @param uptime the executor's uptime in milliseconds
   * @param savedMillis work that was done before the checkpoint of the start
   */
  record OwnProgress(LongSupplier uptime, long startedAt, long savedMillis, long totalMillis)
      implements Progress {
    @Override
    public long doneMillis() {
      return savedMillis + uptime.getAsLong() - startedAt;
    }
  }

  /** Ends the run, of which the other members of its gang take note. */
  void ended(boolean done) {
    ended = true;
    if (!done) {
      gang.ifPresent(GangRun::memberLeft);
    }
  }

  String checkpoint() {
    return step.checkpoints()
        ? String.valueOf(Math.min(progress.doneMillis(), progress.totalMillis()))
        : "";
  }

  /** Returns what the executor reports of the run. */
  ActiveRun active() {
    int percent =
        step.longRunning()
            ? 0
            : (int) Math.min(99, progress.doneMillis() * 100 / progress.totalMillis());
    long usage = step.longRunning() ? 10 : step.resources().milliProcessors();
    return new ActiveRun(id, run, checkpoint(), percent, usage);
  }
}
