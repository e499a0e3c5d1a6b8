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
  /** Started at least once and nobody can tell whether it finished; never started again. */
  UNKNOWN,
  /** Can never fit on any worker; not run. */
  INFEASIBLE
}
