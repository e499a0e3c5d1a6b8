package io.cactusspring.core.shard;

import io.cactusspring.core.model.RunId;
import io.cactusspring.core.model.TaskId;
import io.cactusspring.core.placement.PendingRun;
import io.cactusspring.core.state.RunView;

/** The owner's mutable view of one run that has not ended. */
final class RunEntry {
  /** Where a run stands between acceptance and its logged end. */
  enum Phase {
    /** May run already on a worker that has not been heard since the claim. */
    HELD,
    /** In the placement queue. */
    WAITING,
    /** Given to another shard; the record of the move has not been read back. */
    MOVING,
    /** Placed; its start record has not been read back. */
    RECORDING,
    /** Placed and recorded; the start call has not been sent. */
    READY,
    /** The start call has been sent, and no answer has been understood. */
    STARTING,
    RUNNING,
    /** Ended on the worker; its end record has not been read back. */
    ENDING
  }

  /** Why the owner wants a task to stop. */
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

  /** Whether the worker has said that the task runs. */
  boolean confirmed;

  /** When the worker first said so. */
  long confirmedAtMillis;

  /** Whether the worker restarted since the placement, so that its silence proves nothing. */
  boolean mayHaveRun;

  /** Time after which the lease has certainly lapsed. */
  long leaseExpiresAtMillis;

  /** Whether the placer counts this task on its worker. */
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

  /** Changes the phase; called by the table of runs alone, which is sorted by it. */
  void setPhase(Phase next) {
    phase = next;
  }

  TaskId task() {
    return new TaskId(run, attempt);
  }

  boolean idempotent() {
    return view.spec().idempotent();
  }

  /** When a task started by this owner should have ended; never for one without end. */
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

  /** Returns the run's next attempt as the placement queue takes it. */
  PendingRun toPendingRun(int gangSize) {
    return new PendingRun(run, attempt + 1, view.team(), view.spec(), view.service(), gangSize);
  }
}
