package io.cactusspring.core.request;

/**
 * How one attempt at an endpoint ended.
 *
 * @since 0.1
 */
public sealed interface AttemptOutcome {
  /** The whole answer to this very request came. */
  record Answered() implements AttemptOutcome {}

  /** The endpoint said that it did not run the request. */
  record NotRun() implements AttemptOutcome {}

  /** No byte of the request left, because there was no connection. */
  record NotSent() implements AttemptOutcome {}

  /**
   * Anything else: the request may have run, and may still be running.
   *
   * @param timedOut whether the endpoint stayed silent
   */
  record Failed(boolean timedOut) implements AttemptOutcome {}
}
