package io.cactusspring.core.request;

/** The rules used in production. */
class StandardRules implements RequestRules {
  static final StandardRules INSTANCE = new StandardRules();

  @Override
  public boolean mayResend(boolean idempotent, AttemptOutcome outcome) {
    return switch (outcome) {
      case AttemptOutcome.Answered a -> false;
      case AttemptOutcome.NotRun n -> true;
      case AttemptOutcome.NotSent n -> true;
      case AttemptOutcome.Failed f -> idempotent;
    };
  }

  @Override
  public boolean mayHaveRun(AttemptOutcome outcome) {
    return switch (outcome) {
      case AttemptOutcome.Answered a -> true;
      case AttemptOutcome.NotRun n -> false;
      case AttemptOutcome.NotSent n -> false;
      case AttemptOutcome.Failed f -> true;
    };
  }

  @Override
  public boolean isCurrent(int reportedAttempt, int currentAttempt) {
    return reportedAttempt == currentAttempt;
  }

  @Override
  public boolean matchesRequestId(String requestId, String echoedId) {
    return requestId.equals(echoedId);
  }

  @Override
  public boolean acceptsWork(EndpointShare endpoint) {
    return !endpoint.info().leaving();
  }

  @Override
  public boolean maySendWithoutUnit() {
    return false;
  }
}
