package io.cactusspring.daemon.work;

/** What is known of a record after it was sent to the log. */
enum LogOutcome {
  /** It was read back. */
  READ,
  /** It was never sent. */
  NOT_SENT,
  /** It was sent and has not been read back in time; it may still land. */
  UNKNOWN
}
