package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.schedule.DecisionListener.Kind;
import java.util.List;

/** Handles timeouts of runs: unanswered starts and stops, stalled runs and lapsed leases. */
final class RunMonitor {
  private static final long STOP_RETRY_MILLIS = 500;
  // A healthy executor answers a start in a few milliseconds.
  private static final long START_RETRY_MILLIS = 200;
  private static final int MAX_STARTS = 3;
  // Many times the answer time of a healthy executor, and a fraction of the time after which a
  // lease renewal detects a silent one.
  private static final long START_OVERDUE_MILLIS = 150;
  // A task that takes a few seconds reports a new percentage several times a second.
  private static final long STALL_TIMEOUT_MILLIS = 2_500;

  private final OwnerState state;
  private final RunLifecycle runs;
  private final ErrorContainment containment;

  RunMonitor(OwnerState state, RunLifecycle runs) {
    this.state = state;
    this.runs = runs;
    containment = new ErrorContainment(state, runs);
  }

  /** Checks the executors that have changed or have runs that wait for something. */
  void check(long now) {
    for (LiveExecutor executor : List.copyOf(state.attention)) {
      containment.guardExecutor(executor.id(), now, () -> check(executor, now));
      if (executor.takesTasksAgain(now)) {
        state.gainedCapacity(executor);
      }
      if (!needsAttention(executor, now)) {
        state.attention.remove(executor);
      }
    }
  }

  /** Returns whether anything on an executor changes with time alone. */
  private static boolean needsAttention(LiveExecutor executor, long now) {
    if (executor.isSuspect() || executor.isQuarantined(now)) {
      return true;
    }
    boolean unreachable = executor.isSilent() || !executor.isCallable();
    return executor.runs().stream()
        .anyMatch(
            r ->
                unreachable
                    || r.stopping()
                    || r.phase() == Run.Phase.STARTING
                    || r.phase() == Run.Phase.IN_DOUBT);
  }

  private void check(LiveExecutor executor, long now) {
    executor.suspect(isSuspect(executor, now));
    if (executor.runs().isEmpty()) {
      return;
    }
    if ((executor.isSilent() || !executor.isCallable()) && executor.leaseLapsed(now)) {
      state.crashes.observe(executor, Crash.Evidence.LAPSED, now);
      runs.loseAll(executor, "its lease has lapsed", now);
    }
    for (Run run : List.copyOf(executor.runs())) {
      containment.guardJob(run.key().task().job(), now, () -> check(executor, run, now));
    }
  }

  /**
   * Returns whether a start is overdue and nothing was answered since it was sent. An executor that
   * was cut off from the network must not get more tasks before a lease renewal detects that.
   */
  private static boolean isSuspect(LiveExecutor executor, long now) {
    return executor.runs().stream()
        .anyMatch(
            r ->
                r.startOverdue(START_OVERDUE_MILLIS, now)
                    && r.startSentAt() >= executor.answeredAt());
  }

  private void check(LiveExecutor executor, Run run, long now) {
    if (run.phase() == Run.Phase.IN_DOUBT
        && !run.stopping()
        && now - run.phaseAt() >= START_RETRY_MILLIS) {
      retryStart(executor, run, now);
    }
    if (isStalled(run, now)) {
      state.decisionListener.decisionMade(
          Kind.RUN_STOPPED,
          run.key().task().job(),
          run.key().toString(),
          "no progress beyond "
              + run.percent()
              + "% for "
              + run.unchangedMillis()
              + " ms on "
              + executor.id());
      run.stop();
      runs.noticeFailure(executor, run, now);
    }
    if (executor.isCallable() && run.stopDue(now, STOP_RETRY_MILLIS)) {
      runs.sendStop(executor, run, now);
    }
  }

  /**
   * Sends a start again, which has no effect if an earlier one was carried out. Stops the run if
   * the start was sent {@link #MAX_STARTS} times, the executor cannot be reached, or its capacity
   * has shrunk so that the start may bring it over.
   */
  private void retryStart(LiveExecutor executor, Run run, long now) {
    if (executor.isCallable() && !executor.hasRoomToStart(run)) {
      runs.withholdStart(executor, run, now);
    } else if (run.startsSent() < MAX_STARTS && !executor.isSilent() && executor.isCallable()) {
      state.actions.add(new Action.Start(executor.id(), run.key()));
    } else {
      run.stop();
    }
  }

  private static boolean isStalled(Run run, long now) {
    return run.phase() == Run.Phase.RUNNING
        && !run.stopping()
        && !run.spec().fills()
        && run.percent() < 100
        && now - run.phaseAt() >= STALL_TIMEOUT_MILLIS
        && run.unchangedMillis() >= STALL_TIMEOUT_MILLIS;
  }
}
