package io.cactusspring.core.request;

/**
 * Outcome of one attempt to run a request at an endpoint.
 *
 * @since 0.1
 */
public sealed interface AttemptOutcome {
  /** The complete response to this request was received. */
  record Answered() implements AttemptOutcome {}

  /** The endpoint reported that it did not run the request. */
  record NotRun() implements AttemptOutcome {}

  /** There was no connection, and no byte of the request was sent. */
  record NotSent() implements AttemptOutcome {}

  /**
   * Any other outcome: the request may have run, and may still be running.
   *
   * @param timedOut whether the endpoint did not respond within the attempt's timeout
   */
  record Failed(boolean timedOut) implements AttemptOutcome {}
}
