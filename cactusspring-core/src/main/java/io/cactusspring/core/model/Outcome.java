package io.cactusspring.core.model;

/**
 * How a run ended.
 *
 * @since 0.1
 */
public enum Outcome {
  SUCCEEDED,
  FAILED,
  CANCELLED,
  /** Started at least once, and whether it finished cannot be determined; never started again. */
  UNKNOWN,
  /** Exceeds the capacity of every worker; never started. */
  INFEASIBLE
}
