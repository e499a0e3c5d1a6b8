package io.cactusspring.jobs.port;

import io.vertx.core.Future;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

/**
 * One partition of a compacted log of keyed records in the platform's store, which keeps the newest
 * record of each key.
 *
 * <p>Failed futures carry a {@link StoreException}.
 *
 * @since 0.2
 */
public interface KeyedTopic {
  /**
   * A record of the topic.
   *
   * @param offset position of the record in the log
   * @param value null if the record is a tombstone, which deletes the key
   */
  record Entry(String key, byte[] value, long offset) {
    private static final int LENGTH_BYTES = Integer.BYTES + 1;

    /** Returns how many bytes the record takes in an append, with its lengths. */
    public int bytes() {
      int valueBytes = value == null ? 0 : value.length;
      return LENGTH_BYTES + key.getBytes(StandardCharsets.UTF_8).length + valueBytes;
    }
  }

  /**
   * Records from an offset on.
   *
   * @param next offset to read from next
   * @param end offset that follows the last record of the log
   */
  record Batch(List<Entry> entries, long next, long end) {}

  /**
   * A page of the newest records, ordered by key.
   *
   * @param more whether further pages follow
   * @param end offset that follows the last record of the log
   */
  record Page(List<Entry> entries, boolean more, long end) {}

  /**
   * A writer that the store fences: the store refuses a write with a lower epoch than the highest
   * one seen, and applies writes with equal epoch and sequence number only once.
   */
  record FencedWriter(long epoch, long sequence) {}

  /**
   * Appends records atomically.
   *
   * @return the offset of the first record
   */
  Future<Long> append(List<Entry> entries, Optional<FencedWriter> writer);

  /**
   * Appends records atomically if the log ends at an offset. Fails with {@link
   * StoreException.Kind#CONFLICT} if it ends elsewhere.
   */
  Future<Void> appendAt(long end, List<Entry> entries);

  /**
   * Reads from an offset on.
   *
   * @param waitMillis how long to wait for a record if there is none yet
   */
  Future<Batch> read(long from, long waitMillis);

  /**
   * Reads from an offset on without waiting, on a new connection: an open one may have gone silent.
   */
  Future<Batch> readOnNewConnection(long from);

  /**
   * Reads a page of the newest records.
   *
   * @param after key after which the page starts; empty for the first page
   */
  Future<Page> newest(Optional<String> after);
}
