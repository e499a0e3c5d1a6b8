package io.cactusspring.jobs.control;

/** What a host may decide by the configuration that it has read last. */
enum Freshness {
  /** The configuration is recent enough for all decisions. */
  CURRENT,
  /**
   * The store cannot be reached, on a new connection either. The host goes on granting requests,
   * and refuses nothing as missing.
   */
  ISOLATED,
  /** A later version may be stored that this host has been too slow to read; nothing is decided. */
  OUTDATED
}
