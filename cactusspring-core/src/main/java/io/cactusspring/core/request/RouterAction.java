package io.cactusspring.core.request;

/**
 * Action that the daemon performs after an event.
 *
 * @since 0.1
 */
public sealed interface RouterAction {
  /** Returns the ticket of the request that this action concerns. */
  long ticket();

  /**
   * Send the request.
   *
   * @param attempt number of the attempt; reported together with its outcome
   * @param timeoutNanos time after which the attempt fails and its connection is closed
   * @param remainingNanos time until the request's deadline
   */
  record Send(
      long ticket, int attempt, EndpointShare endpoint, long timeoutNanos, long remainingNanos)
      implements RouterAction {}

  /** Return the response of an attempt to the caller. */
  record Deliver(long ticket, int attempt, String endpoint) implements RouterAction {}

  /**
   * Refuse the request; the router makes no further attempt.
   *
   * @param executionStatus whether the request was executed
   * @param retryAfterMillis time after which the caller may try again
   */
  record Refuse(
      long ticket, RefusalKind kind, ExecutionStatus executionStatus, long retryAfterMillis)
      implements RouterAction {}

  /** Discard a request whose caller has disconnected. */
  record Drop(long ticket) implements RouterAction {}

  /** Count a retry; the request is sent by a separate {@link Send}. */
  record Retry(long ticket, RetryReason reason) implements RouterAction {}

  /** Reason for refusing a request. */
  enum RefusalKind {
    OVER_LIMIT,
    QUEUE_FULL,
    NO_ENDPOINT,
    DEADLINE,
    ENDPOINT_FAILED
  }

  /** Reason for sending a request again. */
  enum RetryReason {
    NOT_RUN,
    NOT_SENT,
    TIMED_OUT,
    FAILED
  }
}
