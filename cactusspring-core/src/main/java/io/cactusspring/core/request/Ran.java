package io.cactusspring.core.request;

/**
 * What is known about whether a refused request ran.
 *
 * @since 0.1
 */
public enum Ran {
  /** It did not run and will not. */
  NO,
  /** It may have run. */
  UNKNOWN,
  /** It ran. */
  YES
}
