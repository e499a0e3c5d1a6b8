package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.ledger.TaskProgress;
import io.cactusspring.jobs.model.TaskId;
import java.util.Optional;

/** The owner's state of a task, which is waiting, has exactly one run, or is done. */
final class LiveTask {
  private final TaskId id;
  private final LiveStep step;
  private boolean done;
  private int lastRun;
  private int lastInheritedRun;
  private final Attempts attempts;
  private Run run;
  private LiveExecutor executor;
  private long waitingSince;
  private long retryAt;
  private long callMillisBeforeWait;
  private long adviceMillis;

  /**
   * Creates a task that waits.
   *
   * @param attempts shared by the members of a gang
   */
  LiveTask(TaskId id, LiveStep step, Attempts attempts, long now) {
    this.id = id;
    this.step = step;
    this.attempts = attempts;
    waitingSince = now;
  }

  TaskId id() {
    return id;
  }

  LiveStep step() {
    return step;
  }

  boolean isDone() {
    return done;
  }

  boolean isWaiting() {
    return !done && run == null;
  }

  /** Returns whether the task is waiting and any pause before a retry is over. */
  boolean isDue(long now) {
    return isWaiting() && retryAt <= now;
  }

  /** Returns when the pause before the next run ends; in the past if there is none. */
  long retryAt() {
    return retryAt;
  }

  void retryAt(long when) {
    retryAt = when;
  }

  int lastRun() {
    return lastRun;
  }

  /** Returns whether the task was ever given a run. */
  boolean hasBegun() {
    return lastRun > 0;
  }

  /** Returns whether a run was decided by this owner, and not by an earlier one. */
  boolean isOfThisTerm(int number) {
    return number > lastInheritedRun;
  }

  /** Returns whether the task has a run whose start was sent. */
  boolean hasStarted() {
    return run != null && run.phase() != Run.Phase.DECIDED;
  }

  /** Returns what this task, or its gang, is judged by. */
  Attempts attempts() {
    return attempts;
  }

  /** Returns the checkpoint of this task, or of its gang; empty if there is none. */
  String checkpoint() {
    return attempts.checkpoint().value();
  }

  /** Records the checkpoint that the current run lists, or has ended with; empty if none. */
  void checkpoint(String value) {
    attempts.checkpoint().reported(value);
  }

  Run run() {
    return run;
  }

  LiveExecutor executor() {
    return executor;
  }

  long waitingSince() {
    return waitingSince;
  }

  /** Returns how long advice was being asked for while the task waited for its current run. */
  long adviceMillis() {
    return adviceMillis;
  }

  void assign(Run started, LiveExecutor on) {
    Optional<LiveExecutor> before = Optional.ofNullable(executor);
    if (!hasBegun()) {
      step.taskBegun();
    }
    run = started;
    executor = on;
    lastRun = Math.max(lastRun, started.key().number());
    adviceMillis = step.tickets().callMillis(started.decidedAt()) - callMillisBeforeWait;
    step.taskChanged(this, before, Optional.of(on), false);
  }

  void release(long now) {
    Optional<LiveExecutor> before = Optional.ofNullable(executor);
    run = null;
    executor = null;
    waitingSince = now;
    callMillisBeforeWait = step.tickets().callMillis(now);
    step.taskChanged(this, before, Optional.empty(), false);
  }

  void complete() {
    if (done) {
      return;
    }
    Optional<LiveExecutor> before = Optional.ofNullable(executor);
    done = true;
    if (hasBegun()) {
      step.begunTaskDone();
    }
    run = null;
    executor = null;
    step.taskChanged(this, before, Optional.empty(), true);
  }

  /**
   * Returns the progress to store.
   *
   * @param withCounts whether the record holds the failures and crashes
   */
  TaskProgress progress(boolean withCounts) {
    CrashCount crashes = attempts.crashes();
    boolean withCrashes = withCounts && !done;
    String on = executor == null ? "" : executor.id();
    long boot = run == null ? 0 : run.bootMillis();
    return new TaskProgress(
        done,
        lastRun,
        withCounts ? attempts.failures() : 0,
        on,
        boot,
        done ? "" : checkpoint(),
        withCrashes ? crashes.attributed() : 0,
        withCrashes ? crashes.early() : 0,
        withCrashes ? crashes.other() : 0);
  }

  /** Restores stored progress; the attempts of a gang are restored by its step. */
  void restore(TaskProgress stored) {
    if (!step.spec().gang()) {
      attempts.restore(stored);
    }
    lastRun = stored.run();
    lastInheritedRun = lastRun;
    if (hasBegun()) {
      step.taskBegun();
    }
    // Earlier versions recorded a long-running task as done when a run of it had ended so.
    if (stored.done() && !step.spec().longRunning()) {
      complete();
    } else {
      step.taskChanged(this, Optional.empty(), Optional.empty(), false);
    }
  }
}
