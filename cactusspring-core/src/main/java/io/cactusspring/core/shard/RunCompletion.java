package io.cactusspring.core.shard;

import io.cactusspring.core.model.LogRecord;
import io.cactusspring.core.model.Outcome;
import io.cactusspring.core.placement.ReleaseReason;
import io.cactusspring.core.state.RunState;
import io.cactusspring.core.state.RunView;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Handles ends of a shard's tasks, from the worker's report or the expiry of the lease until the
 * end record has been read back.
 */
final class RunCompletion {
  private final OwnerState shared;
  private final WaitingEntries waiting;

  RunCompletion(OwnerState state, WaitingEntries waiting) {
    this.shared = state;
    this.waiting = waiting;
  }

  /** Applies a replayed cancellation to the runs of a workload. */
  void reconcile(String workload) {
    shared.runs.ofWorkload(workload).forEach(this::reconcile);
  }

  /** Applies a replayed cancellation to one run. */
  void reconcile(RunEntry entry) {
    Optional<RunView> view = shared.state.run(entry.run);
    boolean over = view.map(v -> v.state() == RunState.ENDED).orElse(true);
    boolean cancelled = over || view.get().cancelled();
    if (!cancelled) {
      return;
    }
    switch (entry.phase()) {
      // A worker that has not answered a sync may run it; the task is stopped once reported.
      case HELD -> {}
      case WAITING -> {
        shared.placer.remove(entry.run);
        shared.backoff.remove(entry.run);
        if (over) {
          shared.runs.remove(entry.run);
        }
      }
      case RECORDING -> {
        if (over) {
          shared.outbox.removeEnd(entry.task());
          release(entry, ReleaseReason.STOPPED, 0);
          shared.runs.remove(entry.run);
        } else {
          entry.stop = RunEntry.StopReason.CANCELLED;
        }
      }
      case MOVING -> {
        if (over) {
          shared.outbox.removeMove(entry.run);
          shared.runs.remove(entry.run);
        }
      }
      case READY -> end(entry, Outcome.CANCELLED, true, ReleaseReason.STOPPED, 0);
      case STARTING, RUNNING -> shared.stop(entry, RunEntry.StopReason.CANCELLED);
      case ENDING -> {}
    }
  }

  void expireLeases(long nowMillis) {
    shared.runs.onWorkers().stream()
        .filter(e -> nowMillis >= e.leaseExpiresAtMillis)
        .toList()
        .forEach(e -> onLeaseExpired(e, nowMillis));
  }

  void onLeaseExpired(RunEntry entry, long nowMillis) {
    onTaskEnded(entry, TaskResult.LAPSED, nowMillis);
  }

  void onTaskEnded(RunEntry entry, TaskResult result, long nowMillis) {
    Outcome outcome = outcome(entry, result);
    if (outcome == null && entry.view.service() && result != TaskResult.CHECKPOINTED) {
      shared.backoff.recordFailure(entry.run, nowMillis);
    }
    end(entry, outcome, false, reason(result), nowMillis);
    if (outcome == null && entry.view.gangSize() > 1) {
      shared.stopGangMembers(entry);
    }
  }

  static Outcome outcome(RunEntry entry, TaskResult result) {
    if (entry.stop == RunEntry.StopReason.CANCELLED && result != TaskResult.SUCCEEDED) {
      return Outcome.CANCELLED;
    }
    if (entry.view.service()) {
      return null;
    }
    return switch (result) {
      case SUCCEEDED -> Outcome.SUCCEEDED;
      case FAILED -> Outcome.FAILED;
      case STOPPED, CHECKPOINTED -> entry.idempotent() ? null : Outcome.FAILED;
      case LAPSED -> entry.idempotent() ? null : Outcome.UNKNOWN;
    };
  }

  static ReleaseReason reason(TaskResult result) {
    return switch (result) {
      case SUCCEEDED -> ReleaseReason.SUCCEEDED;
      case FAILED -> ReleaseReason.FAILED;
      case STOPPED -> ReleaseReason.STOPPED;
      case CHECKPOINTED -> ReleaseReason.CHECKPOINTED;
      case LAPSED -> ReleaseReason.LAPSED;
    };
  }

  void endNotRun(RunEntry entry, ReleaseReason reason, long nowMillis) {
    boolean cancelled = entry.stop == RunEntry.StopReason.CANCELLED;
    end(entry, cancelled ? Outcome.CANCELLED : null, true, reason, nowMillis);
    if (!cancelled && entry.view.gangSize() > 1) {
      shared.stopGangMembers(entry);
    }
  }

  void end(RunEntry entry, Outcome outcome, boolean notRun, ReleaseReason reason, long nowMillis) {
    release(entry, reason, nowMillis);
    shared.runs.changePhase(entry, RunEntry.Phase.ENDING);
    shared.outbox.addEnd(new LogRecord.End(entry.task(), outcome, notRun));
  }

  void release(RunEntry entry, ReleaseReason reason, long nowMillis) {
    if (entry.committed) {
      shared.placer.release(entry.task(), reason, nowMillis);
      shared.links.get(entry.worker).tasks.remove(entry.task());
      entry.committed = false;
    } else {
      shared.addUncommittedUnits(entry.view.team(), -1);
    }
  }

  void onEndReplayed(LogRecord.End end, long nowMillis) {
    shared.outbox.removeEnd(end.task());
    RunEntry entry = shared.runs.get(end.task().run());
    if (entry == null) {
      return;
    }
    if (entry.phase() != RunEntry.Phase.ENDING || entry.attempt != end.task().attempt()) {
      reconcile(entry);
      return;
    }
    forget(entry);
    boolean pending =
        shared.state.run(entry.run).map(v -> v.state() == RunState.PENDING).orElse(false);
    if (pending) {
      waiting.returnToQueue(entry, nowMillis);
    } else {
      shared.runs.remove(entry.run);
      if (entry.view.gangSize() > 1) {
        waiting.enqueueRemainingGang(entry, nowMillis);
      }
    }
  }

  void forget(RunEntry entry) {
    Optional.ofNullable(entry.worker)
        .map(shared.links::get)
        .ifPresent(l -> l.forget.add(entry.task()));
  }

  /** Removes entries and queued records that can no longer take effect, given replayed state. */
  void removeReplayedEnds() {
    shared.outbox.prune(shared.state);
    shared.runs.inPhases(RunEntry.Phase.ENDING).stream()
        .filter(e -> shared.isEnded(e.run))
        .toList()
        .forEach(this::removeEnded);
  }

  void removeEnded(RunEntry entry) {
    forget(entry);
    shared.runs.remove(entry.run);
  }

  /**
   * Requeues idempotent runs without waiting for their end records while the log is unavailable.
   */
  void restartWithoutLog(long nowMillis) {
    restart(e -> true, nowMillis);
  }

  /** Requeues idempotent runs whose last attempt has no start record in the log. */
  void restartUnrecorded(long nowMillis) {
    restart(e -> shared.outbox.containsStart(e.task()), nowMillis);
  }

  void restart(Predicate<RunEntry> which, long nowMillis) {
    shared.runs.inPhases(RunEntry.Phase.ENDING).stream()
        .filter(e -> e.idempotent())
        .filter(e -> shared.outbox.leavesRunPending(e.task()) && which.test(e))
        .toList()
        .forEach(e -> waiting.returnToQueue(e, nowMillis));
  }
}
