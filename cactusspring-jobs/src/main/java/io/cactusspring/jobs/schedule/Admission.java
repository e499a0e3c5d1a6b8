package io.cactusspring.jobs.schedule;

/**
 * Whether the owner accepts a new job.
 *
 * @since 0.2
 */
public sealed interface Admission {
  /** The job may be stored. */
  record Admitted() implements Admission {}

  /**
   * The job must not be stored.
   *
   * @param reason the inputs of the decision, with their values
   * @param retryAfterMillis time after which the caller may submit the job again, in whole seconds
   *     because HTTP has no finer unit for it
   */
  record Rejected(String reason, long retryAfterMillis) implements Admission {}
}
