package io.cactusspring.standins.log;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.stream.IntStream;

/** Retains the latest records of the log in memory, each with its offset. Thread-safe. */
final class RecordStore {
  private static final long FIRST_OFFSET = 1;

  private final Deque<StoredRecord> records = new ArrayDeque<>();
  private long next = FIRST_OFFSET;
  private int retained;

  /**
   * @param retained the number of records retained
   */
  RecordStore(int retained) {
    this.retained = checkRetained(retained);
  }

  /** Appends all records of a batch atomically, at consecutive offsets. */
  synchronized AppendAnswer append(List<String> batch) {
    long first = next;
    batch.forEach(data -> records.addLast(new StoredRecord(next++, data)));
    dropExpired();
    return new AppendAnswer(first, next);
  }

  /** Returns at most {@code limit} records from the given offset on; may be empty. */
  synchronized ReadAnswer read(long from, int limit) {
    List<StoredRecord> found =
        records.stream().filter(r -> r.offset() >= from).limit(limit).toList();
    return new ReadAnswer(found, earliest(), next);
  }

  /** Returns whether the offset precedes the earliest retained record. */
  synchronized boolean isExpired(long from) {
    return from < earliest();
  }

  synchronized OffsetRange offsetRange() {
    return new OffsetRange(earliest(), next);
  }

  /** Sets the number of records retained and drops the oldest records in excess of it. */
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
