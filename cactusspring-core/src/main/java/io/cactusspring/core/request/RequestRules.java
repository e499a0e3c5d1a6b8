package io.cactusspring.core.request;

/**
 * The rules on which the promises to callers rest, apart from policy.
 *
 * @since 0.1
 */
public interface RequestRules {
  /** Whether a request may be sent again after an attempt ended so. */
  boolean mayResend(boolean idempotent, AttemptOutcome outcome);

  /** Whether the request may have run after an attempt ended so. */
  boolean mayHaveRun(AttemptOutcome outcome);

  /** Whether an end that is reported for one attempt concerns the current one. */
  boolean isCurrent(int reportedAttempt, int currentAttempt);

  /** Whether an answer that echoes one request id answers the request of another. */
  boolean matchesRequestId(String requestId, String echoedId);

  /** Whether an endpoint may get new work. */
  boolean acceptsWork(EndpointShare endpoint);

  /** Whether a request that needs a unit of its team's limit may go without one. */
  boolean maySendWithoutUnit();

  /** Returns the rules that are in force. */
  static RequestRules standard() {
    return StandardRules.INSTANCE;
  }
}
