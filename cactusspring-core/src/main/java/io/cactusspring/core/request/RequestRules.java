package io.cactusspring.core.request;

/**
 * Rules that uphold the guarantees to callers, separate from tunable policy. Tests substitute
 * faulty rules to show that violations are detected.
 *
 * @since 0.1
 */
public interface RequestRules {
  /** Returns whether a request may be sent again after an attempt with this outcome. */
  boolean mayResend(boolean idempotent, AttemptOutcome outcome);

  /** Returns whether the request may have run after an attempt with this outcome. */
  boolean mayHaveRun(AttemptOutcome outcome);

  /** Returns whether a report for one attempt concerns the current attempt. */
  boolean isCurrent(int reportedAttempt, int currentAttempt);

  /** Returns whether a response that echoes the given id is the response to the request. */
  boolean matchesRequestId(String requestId, String echoedId);

  /** Returns whether an endpoint may receive new work. */
  boolean acceptsWork(EndpointShare endpoint);

  /** Returns whether a request may be sent without holding a unit of its team's limit. */
  boolean maySendWithoutUnit();

  /** Returns the rules used in production. */
  static RequestRules standard() {
    return StandardRules.INSTANCE;
  }
}
