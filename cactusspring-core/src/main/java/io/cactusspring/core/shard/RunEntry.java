package io.cactusspring.core.shard;

import io.cactusspring.core.model.RunId;
import io.cactusspring.core.model.TaskId;
import io.cactusspring.core.placement.PendingRun;
import io.cactusspring.core.state.RunView;

/** The owner's mutable view of one run that has not ended. */
final class RunEntry {
  /** Phase of a run between its acceptance and its logged end. */
  enum Phase {
    /** May already run on a worker that has not answered a sync since the claim. */
    HELD,
    /** In the placement queue. */
    WAITING,
    /** Being moved to another shard; the move record has not been read back. */
    MOVING,
    /** Placed; its start record has not been read back. */
    RECORDING,
    /** Placed and recorded; the start call has not been sent. */
    READY,
    /** The start call has been sent; its result is not known. */
    STARTING,
    RUNNING,
    /** Ended on the worker; its end record has not been read back. */
    ENDING
  }

  /** Why the owner stops a task. */
  enum StopReason {
    NONE,
    CANCELLED,
    PREEMPTED,
    OVER_LIMIT,
    GANG_RESTART
  }

  /** Allowance for the start call and for the worker's own timer. */
  private static final long END_MARGIN_MILLIS = 20;

  final RunId run;
  final RunView view;
  private Phase phase;
  int attempt;
  String worker;
  StopReason stop = StopReason.NONE;

  /** When the start call was sent; 0 if this owner did not send it. */
  long startSentAtMillis;

  /** Whether the worker has reported that the task runs. */
  boolean confirmed;

  /** When the worker first reported that the task runs. */
  long confirmedAtMillis;

  /** Whether the worker restarted since the placement, so a missing report proves nothing. */
  boolean mayHaveRun;

  /** Latest time at which the lease expires. */
  long leaseExpiresAtMillis;

  /** Whether the task is committed to its worker in the placer. */
  boolean committed;

  RunEntry(RunView view, Phase phase) {
    this.run = view.run();
    this.view = view;
    this.phase = phase;
    this.attempt = view.attempt();
    this.worker = view.worker();
  }

  Phase phase() {
    return phase;
  }

  /** Sets the phase; only {@link OwnedRuns} calls this, since it indexes entries by phase. */
  void setPhase(Phase next) {
    phase = next;
  }

  TaskId task() {
    return new TaskId(run, attempt);
  }

  boolean idempotent() {
    return view.spec().idempotent();
  }

  /**
   * Returns when a task started by this owner should have ended, or {@link Long#MAX_VALUE} if it
   * has no expected duration.
   */
  long expectedEndMillis() {
    long declared = view.spec().expectedMillis();
    return declared == 0 || startSentAtMillis == 0
        ? Long.MAX_VALUE
        : startSentAtMillis + declared + END_MARGIN_MILLIS;
  }

  boolean onWorker() {
    return phase == Phase.STARTING || phase == Phase.RUNNING;
  }

  boolean stopping() {
    return stop != StopReason.NONE;
  }

  /** Returns the run's next attempt for the placement queue. */
  PendingRun toPendingRun(int gangSize) {
    return new PendingRun(run, attempt + 1, view.team(), view.spec(), view.service(), gangSize);
  }
}
