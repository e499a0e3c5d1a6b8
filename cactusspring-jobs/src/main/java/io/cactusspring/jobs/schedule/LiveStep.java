package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.ledger.StepProgress;
import io.cactusspring.jobs.model.StepId;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.model.TaskId;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** The owner's state of one step of one occurrence of a job. */
final class LiveStep {
  private final StepId id;
  private final StepSpec spec;
  private final LiveJob job;
  private final List<LiveTask> tasks;
  private final Tickets tickets = new Tickets();
  private boolean ready;
  private long readySince;

  LiveStep(StepId id, StepSpec spec, LiveJob job, long now) {
    this.id = id;
    this.spec = spec;
    this.job = job;
    tasks =
        IntStream.range(0, spec.tasks())
            .mapToObj(
                i -> new LiveTask(new TaskId(id.job(), id.occurrence(), id.step(), i), this, now))
            .toList();
  }

  StepId id() {
    return id;
  }

  StepSpec spec() {
    return spec;
  }

  LiveJob job() {
    return job;
  }

  List<LiveTask> tasks() {
    return tasks;
  }

  Tickets tickets() {
    return tickets;
  }

  boolean isDone() {
    return tasks.stream().allMatch(LiveTask::isDone);
  }

  /** Returns whether the step may start: it is due and all preceding steps are done. */
  boolean isReady() {
    return ready;
  }

  void becomeReady(long now) {
    if (!ready) {
      ready = true;
      readySince = now;
    }
  }

  long readySince() {
    return readySince;
  }

  Stream<LiveTask> due(long now) {
    return tasks.stream().filter(t -> t.isDue(now));
  }

  boolean hasRuns() {
    return tasks.stream().anyMatch(t -> t.run() != null);
  }

  int runsOn(LiveExecutor executor) {
    return (int) tasks.stream().filter(t -> t.executor() == executor).count();
  }

  boolean hasBegun() {
    return tasks.stream().anyMatch(t -> t.lastRun() > 0 || t.isDone());
  }

  StepProgress progress() {
    if (isDone()) {
      return new StepProgress(id.occurrence(), id.step(), true, List.of());
    }
    return new StepProgress(
        id.occurrence(), id.step(), false, tasks.stream().map(LiveTask::progress).toList());
  }
}
