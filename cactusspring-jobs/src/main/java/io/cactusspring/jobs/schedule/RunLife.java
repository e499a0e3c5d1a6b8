package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.model.JobState;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import io.cactusspring.jobs.schedule.Decisions.Kind;
import java.util.List;

/** Follows runs from their decision to their end, and draws the conclusions for task and job. */
final class RunLife {
  // A long-running task that ends at once must not be restarted in a tight loop.
  private static final long RESTART_PAUSE_MILLIS = 200;

  private final OwnerState state;

  RunLife(OwnerState state) {
    this.state = state;
  }

  /** Decides to start a task. */
  Run decide(LiveTask task, int number, LiveExecutor executor, long now) {
    LiveJob job = task.step().job();
    Run run =
        new Run(
            new RunKey(task.id(), number),
            task.step().spec(),
            job.spec().organisation(),
            Run.Phase.DECIDED,
            now);
    state.addRun(executor, run);
    task.assign(run, executor);
    job.taskStarted();
    state.changed.add(job);
    state.actions.add(new Action.Start(executor.id(), run.key()));
    state.decisions.made(
        Kind.RUN_DECIDED,
        job.id(),
        run.key().toString(),
        "executor " + executor.id() + " free " + executor.free());
    return run;
  }

  /** Ends a run as its executor lists it. */
  void ended(LiveExecutor executor, Run run, EndReason how, String checkpoint, long now) {
    state.removeRun(executor, run);
    state.decisions.made(
        Kind.RUN_ENDED, run.key().task().job(), run.key().toString(), how + " on " + executor.id());
    LiveTask task = state.task(run.key().task());
    if (task == null || task.run() != run) {
      return;
    }
    task.checkpoint(checkpoint);
    switch (how) {
      case DONE -> done(task, executor, now);
      case FAILED -> failed(task, executor, now);
      case STOPPED, LAPSED, BROKEN, ALONE -> again(task, now);
    }
  }

  /** Ends a run of which nothing is left to be known. */
  void lost(LiveExecutor executor, Run run, String reason, long now) {
    state.removeRun(executor, run);
    state.decisions.made(
        Kind.RUN_LOST,
        run.key().task().job(),
        run.key().toString(),
        reason + " on " + executor.id());
    LiveTask task = state.task(run.key().task());
    if (task != null && task.run() == run) {
      again(task, now);
    }
  }

  private void done(LiveTask task, LiveExecutor executor, long now) {
    LiveStep step = task.step();
    executor.runSucceeded();
    task.complete();
    if (step.spec().gang()) {
      step.tasks().forEach(this::completeMember);
    }
    state.changed.add(step.job());
    if (step.isDone()) {
      finishStep(step, now);
    }
  }

  /** One member's end stands for the whole gang; the others' runs are only waited for. */
  private void completeMember(LiveTask member) {
    Run run = member.run();
    if (run != null && run.phase() != Run.Phase.RUNNING) {
      // Its start may still be carried out.
      withdraw(member.executor(), run, run.phaseAt());
    }
    if (!member.isDone()) {
      member.complete();
    }
  }

  private void finishStep(LiveStep step, long now) {
    LiveJob job = step.job();
    job.stepDone(step);
    job.markReady(now);
    if (job.isFinal()) {
      state.jobs.remove(job.id());
      state.decisions.made(Kind.JOB_COMPLETED, job.id(), "", "all steps are done");
    }
  }

  private void failed(LiveTask task, LiveExecutor executor, long now) {
    LiveStep step = task.step();
    Queue queue = state.queue(step.job());
    task.failed();
    if (executor.runFailed(step.job().id(), now)) {
      state.decisions.made(
          Kind.EXECUTOR_QUARANTINED, "", executor.id(), "runs of several jobs failed in a row");
    }
    int failures =
        step.spec().gang()
            ? step.tasks().stream().mapToInt(LiveTask::failures).sum()
            : task.failures();
    if (!step.spec().longRunning() && queue.maxAttempts() > 0 && failures >= queue.maxAttempts()) {
      state.decisions.made(
          Kind.JOB_FAILED,
          step.job().id(),
          task.id().toString(),
          failures + " of " + queue.maxAttempts() + " attempts failed");
      finish(step.job(), JobState.FAILED);
      return;
    }
    again(task, now);
    if (step.spec().longRunning()) {
      task.retryAt(now + RESTART_PAUSE_MILLIS);
    }
  }

  /** Lets a task wait for its next run; a gang has to start over as a whole. */
  private void again(LiveTask task, long now) {
    task.release(now);
    state.changed.add(task.step().job());
    if (task.step().spec().gang()) {
      task.step().tasks().stream()
          .filter(m -> m.run() != null)
          .forEach(m -> withdraw(m.executor(), m.run(), now));
    }
  }

  /** Stops a run whose task goes on later or elsewhere. */
  void stop(LiveExecutor executor, Run run, Kind kind, String reason, long now) {
    state.decisions.made(
        kind,
        run.key().task().job(),
        run.key().toString(),
        reason + ", at " + run.percent() + "% on " + executor.id());
    run.stop();
    sendStop(executor, run, now);
  }

  void sendStop(LiveExecutor executor, Run run, long now) {
    run.stopSent(now);
    state.actions.add(new Action.Stop(executor.id(), executor.target(), run.key()));
  }

  /** Stops a run, or drops it if its start was not sent yet. */
  void withdraw(LiveExecutor executor, Run run, long now) {
    if (run.phase() == Run.Phase.DECIDED) {
      state.removeRun(executor, run);
      LiveTask task = state.task(run.key().task());
      if (task != null && task.run() == run) {
        task.release(now);
      }
    } else {
      run.stop();
    }
  }

  /** Ends a job; its runs are stopped and count until they are gone. */
  void finish(LiveJob job, JobState end) {
    job.finish(end);
    state.jobs.remove(job.id());
    state.changed.add(job);
    List<LiveTask> active =
        job.steps().stream().flatMap(s -> s.tasks().stream()).filter(t -> t.run() != null).toList();
    for (LiveTask task : active) {
      Run run = task.run();
      if (run.phase() == Run.Phase.DECIDED) {
        state.removeRun(task.executor(), run);
      } else {
        run.stop();
      }
    }
  }

  /** Stops a run that an executor lists and that no task of ours has. */
  void unwanted(LiveExecutor executor, RunKey key, long now) {
    var spec = state.spec(key.task().job());
    int step = key.task().step();
    if (spec.isEmpty() || step >= spec.get().steps().size()) {
      state.decisions.made(
          Kind.RUN_UNKNOWN, key.task().job(), key.toString(), "no such job, on " + executor.id());
      return;
    }
    Run run =
        new Run(
            key, spec.get().steps().get(step), spec.get().organisation(), Run.Phase.UNWANTED, now);
    run.stop();
    state.addRun(executor, run);
    state.decisions.made(
        Kind.RUN_UNKNOWN, key.task().job(), key.toString(), "stopped on " + executor.id());
  }
}
