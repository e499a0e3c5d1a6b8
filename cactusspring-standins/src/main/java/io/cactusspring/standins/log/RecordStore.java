package io.cactusspring.standins.log;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.stream.IntStream;

/** Keeps the last records of the log in memory, each at its offset. Thread-safe. */
final class RecordStore {
  private static final long FIRST_OFFSET = 1;

  private final Deque<StoredRecord> records = new ArrayDeque<>();
  private long next = FIRST_OFFSET;
  private int retained;

  /**
   * @param retained the number of records kept
   */
  RecordStore(int retained) {
    this.retained = checkRetained(retained);
  }

  /** Appends a batch whole, with consecutive offsets. */
  synchronized AppendResponse append(List<String> batch) {
    long first = next;
    batch.forEach(data -> records.addLast(new StoredRecord(next++, data)));
    dropExpired();
    return new AppendResponse(first, next);
  }

  /** Returns at most {@code limit} records from an offset on; none when there are none yet. */
  synchronized ReadResponse read(long from, int limit) {
    List<StoredRecord> found =
        records.stream().filter(r -> r.offset() >= from).limit(limit).toList();
    return new ReadResponse(found, earliest(), next);
  }

  /** Returns whether records from this offset on have been dropped already. */
  synchronized boolean isExpired(long from) {
    return from < earliest();
  }

  synchronized OffsetRange offsetRange() {
    return new OffsetRange(earliest(), next);
  }

  /** Changes the number of records kept and drops what exceeds it. */
  synchronized void setRetained(int count) {
    retained = checkRetained(count);
    dropExpired();
  }

  private long earliest() {
    return records.isEmpty() ? next : records.getFirst().offset();
  }

  private void dropExpired() {
    IntStream.range(0, Math.max(0, records.size() - retained)).forEach(i -> records.removeFirst());
  }

  private static int checkRetained(int count) {
    if (count < 0) {
      throw new IllegalArgumentException("retain is " + count + "; expected 0 or more records");
    }
    return count;
  }
}
