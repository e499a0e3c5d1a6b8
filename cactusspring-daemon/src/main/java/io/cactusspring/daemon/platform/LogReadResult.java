package io.cactusspring.daemon.platform;

import java.util.List;

/**
 * Result of a read of the platform's log.
 *
 * @since 0.1
 */
public sealed interface LogReadResult {
  /**
   * Records in the order of their offsets.
   *
   * @param next end of the log: offset of the next record to be appended
   */
  record Records(List<Entry> records, long next) implements LogReadResult {
    public Records {
      records = List.copyOf(records);
    }
  }

  /**
   * The requested records are past the retention of the log.
   *
   * @param earliest offset of the earliest record that is retained
   * @param next offset of the next record to be appended
   */
  record Expired(long earliest, long next) implements LogReadResult {}

  /** A record with its offset in the log. */
  record Entry(long offset, String data) {}
}
