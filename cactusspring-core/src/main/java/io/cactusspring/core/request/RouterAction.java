package io.cactusspring.core.request;

/**
 * What the daemon has to do after an event.
 *
 * @since 0.1
 */
public sealed interface RouterAction {
  /** Ticket of the request that is concerned. */
  long ticket();

  /**
   * Send the request.
   *
   * @param attempt number of the attempt, to be given back with its outcome
   * @param timeoutNanos time after which the attempt has failed and its connection is closed
   * @param remainingNanos time left until the request's deadline
   */
  record Send(
      long ticket, int attempt, EndpointShare endpoint, long timeoutNanos, long remainingNanos)
      implements RouterAction {}

  /** Hand over the answer of an attempt. */
  record Deliver(long ticket, int attempt, String endpoint) implements RouterAction {}

  /**
   * Refuse the request for good.
   *
   * @param retryAfterMillis when to come back
   */
  record Refuse(long ticket, Kind kind, Ran ran, long retryAfterMillis) implements RouterAction {}

  /** Forget a request whose caller is gone. */
  record Drop(long ticket) implements RouterAction {}

  /** Count a retry. */
  record Retry(long ticket, RetryReason reason) implements RouterAction {}

  /** Why a request is refused. */
  enum Kind {
    OVER_LIMIT,
    QUEUE_FULL,
    NO_ENDPOINT,
    DEADLINE,
    ENDPOINT_FAILED
  }

  /** Why a request is sent again. */
  enum RetryReason {
    NOT_RUN,
    NOT_SENT,
    TIMED_OUT,
    FAILED
  }
}
