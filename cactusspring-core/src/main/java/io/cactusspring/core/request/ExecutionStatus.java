package io.cactusspring.core.request;

/**
 * Whether a refused request was executed, as far as is known.
 *
 * @since 0.1
 */
public enum ExecutionStatus {
  /** The request did not run and will not run. */
  NO,
  /** The request may have run. */
  UNKNOWN,
  /** The request ran. */
  YES
}
