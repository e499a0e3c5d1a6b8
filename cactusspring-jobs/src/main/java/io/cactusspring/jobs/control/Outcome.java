package io.cactusspring.jobs.control;

/**
 * Outcome of a submission or a cancellation.
 *
 * @since 0.2
 */
public sealed interface Outcome {
  /** The request is stored. */
  record Accepted() implements Outcome {}

  /**
   * The request is not stored and never will be.
   *
   * @param retryAfterSeconds time after which the caller may send it again
   */
  record Refused(String reason, int retryAfterSeconds) implements Outcome {}

  /** The request contradicts an earlier one; it is not stored and never will be. */
  record Conflict(String reason) implements Outcome {}

  /** The store cannot hold the request, which is not stored and never will be. */
  record TooLarge(String reason) implements Outcome {}

  /** The job does not exist. */
  record NoSuchJob() implements Outcome {}

  /** The request may have been stored, or may still be stored. */
  record Undecided(String reason) implements Outcome {}
}
