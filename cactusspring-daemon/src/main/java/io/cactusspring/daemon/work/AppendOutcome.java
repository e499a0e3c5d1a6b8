package io.cactusspring.daemon.work;

/** Outcome of an append to the log, as far as it is known. */
enum AppendOutcome {
  /** The record was read back from the log. */
  CONFIRMED,
  /** The record was never sent. */
  NOT_SENT,
  /**
   * The record was sent but not read back within the timeout. It may still be appended to the log.
   */
  UNKNOWN
}
