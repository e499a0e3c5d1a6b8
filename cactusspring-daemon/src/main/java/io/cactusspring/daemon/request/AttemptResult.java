package io.cactusspring.daemon.request;

import io.cactusspring.core.request.AttemptOutcome;

/**
 * Outcome of one attempt.
 *
 * @param answer null unless the outcome is an answer
 */
record AttemptResult(AttemptOutcome outcome, ExecutorAnswer answer) {
  static AttemptResult answered(ExecutorAnswer answer) {
    return new AttemptResult(new AttemptOutcome.Answered(), answer);
  }

  static AttemptResult of(AttemptOutcome outcome) {
    return new AttemptResult(outcome, null);
  }

  static AttemptResult failed() {
    return of(new AttemptOutcome.Failed(false));
  }

  static AttemptResult timedOut() {
    return of(new AttemptOutcome.Failed(true));
  }
}
