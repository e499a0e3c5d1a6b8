package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.model.JobState;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import io.cactusspring.jobs.schedule.DecisionListener.Kind;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/** Applies the state changes of runs, from decision to end, to their tasks and jobs. */
final class RunLifecycle {
  // A long-running task that ends at once must not be restarted in a tight loop.
  private static final long RESTART_PAUSE_MILLIS = 200;

  private final OwnerState state;

  RunLifecycle(OwnerState state) {
    this.state = state;
  }

  /** Creates a run for a task and requests its start. */
  Run decide(LiveTask task, int number, LiveExecutor executor, long now) {
    LiveJob job = task.step().job();
    Run run =
        new Run(
            new RunKey(task.id(), number), task.step().spec(), job.spec(), Run.Phase.DECIDED, now);
    run.bootMillis(executor.bootMillis());
    run.resumeFrom(task.checkpoint());
    if (!isComparable(task, executor)) {
      run.doNotMeasure();
    }
    state.addRun(executor, run, now);
    task.assign(run, executor);
    job.taskStarted();
    state.changed.add(job);
    state.actions.add(new Action.Start(executor.id(), run.key()));
    state.decisionListener.decisionMade(
        Kind.RUN_DECIDED,
        job.id(),
        run.key().toString(),
        "executor " + executor.id() + " free " + executor.free());
    return run;
  }

  /** Returns whether a run that starts now does the whole work of its task at full speed. */
  private static boolean isComparable(LiveTask task, LiveExecutor executor) {
    StepSpec spec = task.step().spec();
    return !spec.gang()
        && !spec.fills()
        && !spec.longRunning()
        && task.checkpoint().isEmpty()
        && executor.hasLabel(spec.dataRack());
  }

  /** Ends a run whose end its executor has reported. */
  void ended(LiveExecutor executor, Run run, EndReason reason, String checkpoint, long now) {
    state.removeRun(executor, run, now);
    state.decisionListener.decisionMade(
        Kind.RUN_ENDED,
        run.key().task().job(),
        run.key().toString(),
        reason + " on " + executor.id());
    if (reason == EndReason.DONE && run.phase() != Run.Phase.ORPHANED) {
      // The task may be done already, as a member of a gang is once another member is.
      noticeSuccess(executor, run, now);
    }
    LiveTask task = state.task(run.key().task());
    if (task == null || task.run() != run) {
      otherRunEnded(executor, run.key(), reason, now);
      return;
    }
    task.checkpoint(checkpoint);
    switch (reason) {
      case DONE -> {
        state.learned.observe(task, executor, run, now);
        if (task.step().spec().longRunning()) {
          restart(executor, run, task, now);
        } else {
          done(task, Optional.of(run), now);
        }
      }
      case FAILED -> failed(task, executor, run, now);
      case STOPPED, LAPSED, BROKEN, ALONE -> requeueOrGiveUp(executor, run, task, now);
    }
  }

  /**
   * Applies the end of a run that is not the present one of its task. Its start may have been
   * carried out after the run was taken for lost. As the end is acknowledged, it counts like any
   * other: a successful one completes the task.
   */
  void otherRunEnded(LiveExecutor executor, RunKey key, EndReason reason, long now) {
    LiveTask task = state.task(key.task());
    if (task == null || task.isDone() || task.step().spec().longRunning()) {
      return;
    }
    switch (reason) {
      case DONE -> {
        state.decisionListener.decisionMade(
            Kind.RUN_ENDED,
            key.task().job(),
            key.toString(),
            "DONE on " + executor.id() + ", not the present run");
        membersOf(task).filter(m -> m.run() != null).forEach(m -> withdrawPresent(m, now));
        done(task, Optional.empty(), now);
      }
      case FAILED -> {
        // An earlier owner may have counted the failure.
        if (task.isOfThisTerm(key.number())) {
          countFailure(task, executor, key, ", not the present run", now);
          if (membersOf(task).noneMatch(LiveTask::hasStarted)) {
            giveUpIfSpent(task, now);
          }
        }
      }
      case STOPPED, LAPSED, BROKEN, ALONE -> {}
    }
  }

  private static Stream<LiveTask> membersOf(LiveTask task) {
    LiveStep step = task.step();
    return step.spec().gang() ? step.tasks().stream() : Stream.of(task);
  }

  private void withdrawPresent(LiveTask task, long now) {
    state.touch(task.executor());
    withdraw(task.executor(), task.run(), now);
  }

  /** Ends a run that is over without a reported end; its task waits for the next run. */
  void lost(LiveExecutor executor, Run run, String reason, long now) {
    state.removeRun(executor, run, now);
    state.decisionListener.decisionMade(
        Kind.RUN_LOST,
        run.key().task().job(),
        run.key().toString(),
        reason + " on " + executor.id());
    LiveTask task = state.task(run.key().task());
    if (task != null && task.run() == run) {
      requeueOrGiveUp(executor, run, task, now);
    }
  }

  /** Returns a task to the waiting state, unless too many executors have crashed under it. */
  private void requeueOrGiveUp(LiveExecutor executor, Run run, LiveTask task, long now) {
    if (giveUpIfSpent(task, now)) {
      return;
    }
    Optional<String> verdict = state.crashes.endedUndone(executor, run, task, now);
    if (verdict.isPresent()) {
      LiveJob job = task.step().job();
      state.decisionListener.decisionMade(
          Kind.JOB_FAILED, job.id(), task.id().toString(), verdict.get());
      finish(job, JobState.FAILED, now);
    } else {
      requeue(task, now);
    }
  }

  /** Ends all runs on an executor of which the starts were sent. */
  void loseAll(LiveExecutor executor, String reason, long now) {
    List.copyOf(executor.runs()).stream()
        .filter(r -> r.phase() != Run.Phase.DECIDED && executor.run(r.key()) == r)
        .forEach(r -> lost(executor, r, reason, now));
  }

  private void done(LiveTask task, Optional<Run> run, long now) {
    LiveStep step = task.step();
    task.complete();
    if (step.spec().gang()) {
      step.tasks().forEach(m -> completeMember(m, now));
    }
    state.changed.add(step.job());
    if (step.isDone()) {
      StageTimes stages =
          run.map(r -> StageClock.ofStep(task, r, now))
              .orElseGet(() -> StageClock.ofStepWithLostRun(step, now));
      step.done(stages, now);
      finishStep(step, now);
    }
  }

  /**
   * Completes another member of a gang of which one member is done. A confirmed run of the member
   * is not stopped; it is removed when its executor reports the end.
   */
  private void completeMember(LiveTask member, long now) {
    Run run = member.run();
    if (run != null && run.phase() != Run.Phase.RUNNING) {
      // The start may still be carried out.
      withdraw(member.executor(), run, now);
    }
    if (!member.isDone()) {
      member.complete();
    }
  }

  private void finishStep(LiveStep step, long now) {
    LiveJob job = step.job();
    state.learned.stepEnded(step, now);
    // The steps of an occurrence are dropped once all of them are done.
    List<LiveStep> steps = job.steps();
    job.stepDone(step);
    job.markReady(now);
    if (job.isFinal()) {
      if (job.spec().repetitions() == 0) {
        jobEnded(job, StageClock.ofJob(job, steps), now);
      }
      state.removeJob(job);
      state.decisionListener.decisionMade(Kind.JOB_COMPLETED, job.id(), "", "all steps are done");
    }
  }

  private void jobEnded(LiveJob job, StageTimes stages, long now) {
    Queue queue = state.queue(job);
    state.decisionListener.jobEnded(
        new EndedJob(
            job.id(),
            queue.name(),
            job.spec().organisation(),
            job.state(),
            now - job.submittedAt(),
            Math.round(ExpectedCompletion.objectiveMillis(job, queue, state.durations)),
            stages));
  }

  private void failed(LiveTask task, LiveExecutor executor, Run run, long now) {
    LiveStep step = task.step();
    if (!step.hasFailedElsewhere(executor)) {
      // Work that fails elsewhere as well says nothing of this executor.
      noticeFailure(executor, run, now);
    }
    step.failedOn(executor);
    String origin = run.isInherited() ? ", started by an earlier owner" : "";
    countFailure(task, executor, run.key(), origin, now);
    if (step.spec().longRunning()) {
      restart(executor, run, task, now);
    } else {
      requeueOrGiveUp(executor, run, task, now);
    }
  }

  private void countFailure(
      LiveTask task, LiveExecutor executor, RunKey key, String origin, long now) {
    LiveStep step = task.step();
    boolean counts = task.attempts().runFailed(key.number());
    state.changed.add(step.job());
    state.decisionListener.decisionMade(
        Kind.RUN_FAILED,
        step.job().id(),
        key.toString(),
        (counts ? "failure " : "counted for another member, failure ")
            + task.attempts().failures()
            + " of "
            + state.queue(step.job()).maxAttempts()
            + " on "
            + executor.id()
            + origin
            + (step.spec().gang() ? "; " + step.describeFailures() : ""));
  }

  /**
   * Ends the job of a task that has failed as often as it may.
   *
   * @return whether the job has ended
   */
  private boolean giveUpIfSpent(LiveTask task, long now) {
    LiveStep step = task.step();
    int maxAttempts = state.queue(step.job()).maxAttempts();
    int failures = task.attempts().failures();
    if (step.spec().longRunning() || maxAttempts == 0 || failures < maxAttempts) {
      return false;
    }
    state.decisionListener.decisionMade(
        Kind.JOB_FAILED,
        step.job().id(),
        task.id().toString(),
        failures + " of " + maxAttempts + " attempts failed");
    finish(step.job(), JobState.FAILED, now);
    return true;
  }

  /** Returns a long-running task, which runs until its job is cancelled, to the waiting state. */
  private void restart(LiveExecutor executor, Run run, LiveTask task, long now) {
    requeueOrGiveUp(executor, run, task, now);
    task.retryAt(now + RESTART_PAUSE_MILLIS);
  }

  private void noticeSuccess(LiveExecutor executor, Run run, long now) {
    executor.quarantine().runSucceeded(run);
    state.failureRates.runEnded(executor, false, now);
  }

  /** Takes a failed run as evidence that its executor may be at fault. */
  void noticeFailure(LiveExecutor executor, Run run, long now) {
    int maxFailures = state.failureRates.maxFailures(executor, now);
    state.failureRates.runEnded(executor, true, now);
    if (state.uses(Mechanism.QUARANTINE)
        && executor.quarantine().runFailed(run, maxFailures, now)) {
      state.decisionListener.decisionMade(
          Kind.EXECUTOR_QUARANTINED,
          "",
          executor.id(),
          "runs of at least " + maxFailures + " jobs failed in a row");
    }
  }

  /** Returns a task to the waiting state. The members of a gang are restarted together. */
  private void requeue(LiveTask task, long now) {
    task.release(now);
    state.changed.add(task.step().job());
    if (task.step().spec().gang()) {
      task.step().tasks().stream()
          .filter(m -> m.run() != null)
          .forEach(m -> withdraw(m.executor(), m.run(), now));
    }
  }

  /**
   * Stops the members of a gang that run although another member does not. A previous owner may
   * have ended before it could send the stops, which are not stored.
   */
  void restartIncompleteGang(LiveStep step, long now) {
    if (step.spec().gang() && step.hasWaiting()) {
      step.tasks().stream()
          .filter(m -> m.run() != null)
          .forEach(m -> withdraw(m.executor(), m.run(), now));
    }
  }

  /** Stops a run whose task continues later or on another executor. */
  void stop(LiveExecutor executor, Run run, Kind kind, String reason, long now) {
    state.decisionListener.decisionMade(
        kind,
        run.key().task().job(),
        run.key().toString(),
        reason + ", at " + run.percent() + "% on " + executor.id());
    run.stop();
    sendStop(executor, run, now);
  }

  /**
   * Withdraws decided runs whose start was not sent yet, the last decided first, until the runs of
   * an executor fit in its capacity. A gang is withdrawn before any of its members has started.
   */
  void withdrawBeyondCapacity(LiveExecutor executor, long now) {
    List.copyOf(executor.runs()).reversed().stream()
        .filter(r -> r.phase() == Run.Phase.DECIDED && executor.run(r.key()) == r)
        .filter(r -> !executor.hasRoomToStart(r))
        .forEach(r -> withholdStart(executor, r, now));
  }

  /**
   * Withdraws a run that would bring its executor over its capacity, or stops it if its start was
   * sent before and may still be carried out.
   */
  void withholdStart(LiveExecutor executor, Run run, long now) {
    String reason = "uses " + executor.used() + " of " + executor.info().capacity();
    if (run.phase() == Run.Phase.DECIDED) {
      lost(executor, run, "start withdrawn, executor " + reason, now);
    } else {
      stop(executor, run, Kind.RUN_STOPPED, "start in doubt, executor " + reason, now);
    }
  }

  void sendStop(LiveExecutor executor, Run run, long now) {
    run.stopSent(now);
    state.actions.add(new Action.Stop(executor.id(), executor.target(), run.key()));
  }

  /** Stops a run, or removes it if its start was not sent yet. */
  void withdraw(LiveExecutor executor, Run run, long now) {
    if (run.phase() == Run.Phase.DECIDED) {
      state.removeRun(executor, run, now);
      LiveTask task = state.task(run.key().task());
      if (task != null && task.run() == run) {
        task.release(now);
      }
    } else {
      run.stop();
    }
  }

  /** Ends a job and stops its runs, which occupy capacity until they are certainly over. */
  void finish(LiveJob job, JobState end, long now) {
    job.finish(end);
    state.learned.jobEnded(job);
    if (!job.longRunning()) {
      jobEnded(job, StageClock.ofJob(job, job.steps()), now);
    }
    state.removeJob(job);
    state.changed.add(job);
    List<LiveTask> active =
        job.steps().stream().flatMap(s -> s.tasks().stream()).filter(t -> t.run() != null).toList();
    for (LiveTask task : active) {
      Run run = task.run();
      if (run.phase() == Run.Phase.DECIDED) {
        state.removeRun(task.executor(), run, now);
      } else {
        run.stop();
      }
    }
  }

  /** Stops a run that an executor lists and the owner has no record of. */
  void stopOrphan(LiveExecutor executor, RunKey key, long now) {
    var spec = state.spec(key.task().job());
    int step = key.task().step();
    if (spec.isEmpty() || step >= spec.get().steps().size()) {
      state.decisionListener.decisionMade(
          Kind.RUN_UNKNOWN,
          key.task().job(),
          key.toString(),
          "no such job or step, on " + executor.id());
      return;
    }
    Run run = new Run(key, spec.get().steps().get(step), spec.get(), Run.Phase.ORPHANED, now);
    run.stop();
    state.addRun(executor, run, now);
    state.decisionListener.decisionMade(
        Kind.RUN_UNKNOWN, key.task().job(), key.toString(), "stopped on " + executor.id());
  }
}
