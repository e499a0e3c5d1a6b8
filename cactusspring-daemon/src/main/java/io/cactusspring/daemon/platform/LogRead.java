package io.cactusspring.daemon.platform;

import java.util.List;

/**
 * Answer of the platform's log to a read.
 *
 * @since 0.1
 */
public sealed interface LogRead {
  /**
   * Records in order.
   *
   * @param next end of the log: offset of the record that will be appended next
   */
  record Records(List<Entry> records, long next) implements LogRead {
    public Records {
      records = List.copyOf(records);
    }
  }

  /**
   * The records asked for are no longer kept.
   *
   * @param earliest first offset that is kept
   */
  record Expired(long earliest, long next) implements LogRead {}

  /** One record. */
  record Entry(long offset, String data) {}
}
