package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.port.ExecutorClient.CommandResult;
import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import io.cactusspring.jobs.port.ExecutorClient.Refusal;
import io.cactusspring.jobs.schedule.DecisionListener.Kind;

/** Applies the answers to starts to runs and executors. */
final class StartAnswerHandler {
  private final OwnerState state;
  private final RunLifecycle runs;

  StartAnswerHandler(OwnerState state, RunLifecycle runs) {
    this.state = state;
    this.runs = runs;
  }

  void handle(LiveExecutor executor, Run run, CommandResult result, long now) {
    boolean foreign = executor.isForeign(run);
    run.startSettled();
    switch (result) {
      case CommandResult.Done done -> {
        executor.lease().taken(run.leaseEnd(), done.clockMillis(), now);
        if (!foreign) {
          executor.answered(done.clockMillis(), now);
        }
        if (run.phase() == Run.Phase.STARTING || run.phase() == Run.Phase.IN_DOUBT) {
          run.enter(Run.Phase.RUNNING, now);
        }
      }
      case CommandResult.Refused refused -> {
        if (foreign) {
          if (takesLease(refused.reason())) {
            executor.lease().mayHaveTakenForeign(now);
          }
        } else if (run.phase() != Run.Phase.RUNNING) {
          noticeRefusal(executor, run, refused.reason(), now);
        }
        refused(executor, run, refused.reason(), now);
      }
      case CommandResult.Unknown unknown -> {
        executor.lease().unanswered(foreign, now);
        executor.fence().unanswered(run.startToken());
        run.startUnanswered(now);
        if (run.phase() == Run.Phase.STARTING) {
          run.enter(Run.Phase.IN_DOUBT, now);
        }
        logDecision(Kind.RUN_IN_DOUBT, executor, run, unknown.problem());
      }
    }
  }

  /** Returns whether an executor that refuses a start may take its lease all the same. */
  private static boolean takesLease(Refusal why) {
    return switch (why) {
      case STALE_RUN, NO_ROOM, TICKET -> true;
      case FENCED, EXPIRED, INVALID, UNHEALTHY, OTHER_BOOT, NOT_SENT -> false;
    };
  }

  /** Takes a refusal of the present boot as evidence of its state. */
  private void noticeRefusal(LiveExecutor executor, Run run, Refusal why, long now) {
    LiveTask task = state.task(run.key().task());
    if (why == Refusal.TICKET && task != null) {
      task.step().tickets().drop(executor);
    }
    if (why == Refusal.OTHER_BOOT) {
      state.crashes.observe(executor, Crash.Evidence.REPLACED, now);
    }
    switch (why) {
      case UNHEALTHY, NO_ROOM -> executor.quarantine().runRefused(run, now);
      case NOT_SENT, OTHER_BOOT -> state.markSilent(executor, why + " at a start", now);
      case FENCED, STALE_RUN, EXPIRED, TICKET, INVALID -> {}
    }
  }

  private void refused(LiveExecutor executor, Run run, Refusal why, long now) {
    logDecision(Kind.RUN_REFUSED, executor, run, why.toString());
    if (run.phase() == Run.Phase.RUNNING) {
      return;
    }
    if (run.startsSent() > 1) {
      // An earlier copy of the request may still be carried out.
      run.enter(Run.Phase.IN_DOUBT, now);
      run.stop();
      return;
    }
    run.refused();
    if (why == Refusal.INVALID) {
      runs.ended(executor, run, EndReason.FAILED, "", now);
    } else {
      runs.lost(executor, run, "start refused: " + why, now);
    }
  }

  private void logDecision(Kind kind, LiveExecutor executor, Run run, String reason) {
    state.decisionListener.decisionMade(
        kind, run.key().task().job(), run.key().toString(), reason + " on " + executor.id());
  }
}
