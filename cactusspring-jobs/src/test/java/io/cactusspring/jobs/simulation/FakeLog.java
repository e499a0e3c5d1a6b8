package io.cactusspring.jobs.simulation;

import io.cactusspring.jobs.port.KeyedTopic.Entry;
import io.cactusspring.jobs.port.KeyedTopic.FencedWriter;
import io.cactusspring.jobs.port.StoreException;
import io.cactusspring.jobs.port.StoreException.Kind;
import io.cactusspring.jobs.port.StoreLimits;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

/**
 * In-memory state of a keyed topic in the store: its records, the newest record of each key, and
 * the fencing of its writer.
 */
public final class FakeLog {
  /** The log refuses an append if those before it take longer than this. */
  private static final long MAX_QUEUE_MILLIS = 2_000;

  private long appends;
  private long reads;

  private record LastAppend(long sequence, long offset) {}

  private final List<Entry> records = new ArrayList<>();
  private final Map<String, Entry> newest = new LinkedHashMap<>();
  private final List<Runnable> appendListeners = new ArrayList<>();
  private long firstOffset;
  private boolean unreadable;
  private long epoch = Long.MIN_VALUE;
  private LastAppend lastAppend;
  private UnaryOperator<Entry> change = e -> e;
  private Predicate<Entry> deletion = e -> false;
  private long appendMillis;
  private long busyUntil;
  private long newEpochsFrom = Long.MIN_VALUE;

  /**
   * Appends records and returns the offset of the first one. A repeated append of a writer returns
   * the offset of the original append.
   *
   * @throws StoreException if the writer is fenced or its sequence number is not the next one
   */
  public long append(List<Entry> entries, Optional<FencedWriter> writer) throws StoreException {
    checkSizes(entries);
    if (writer.isPresent()) {
      Optional<Long> repeated = checkWriter(writer.get());
      if (repeated.isPresent()) {
        return repeated.get();
      }
    }
    long offset = end();
    writer.ifPresent(w -> lastAppend = new LastAppend(w.sequence(), offset));
    for (Entry e : entries) {
      boolean deleted = deletion.test(e);
      store(e);
      if (deleted) {
        store(new Entry(e.key(), null, 0));
      }
    }
    List<Runnable> listeners = List.copyOf(appendListeners);
    appendListeners.clear();
    listeners.forEach(Runnable::run);
    return offset;
  }

  private void store(Entry entry) {
    Entry stored = new Entry(entry.key(), change.apply(entry).value(), end());
    records.add(stored);
    if (entry.value() == null) {
      newest.remove(entry.key());
    } else {
      newest.put(entry.key(), stored);
    }
  }

  private static void checkSizes(List<Entry> entries) throws StoreException {
    int largest = entries.stream().mapToInt(Entry::bytes).max().orElse(0);
    int all = entries.stream().mapToInt(Entry::bytes).sum();
    if (largest > StoreLimits.DEFAULT.recordBytes() || all > StoreLimits.DEFAULT.requestBytes()) {
      throw new StoreException(Kind.REFUSED, "append of " + all + " bytes is too large");
    }
  }

  /**
   * Appends records if the log ends at an offset.
   *
   * @throws StoreException if it ends elsewhere
   */
  public void appendAt(long expectedEnd, List<Entry> entries) throws StoreException {
    if (end() != expectedEnd) {
      throw new StoreException(Kind.CONFLICT, "the log ends at " + end());
    }
    append(entries, Optional.empty());
  }

  private Optional<Long> checkWriter(FencedWriter writer) throws StoreException {
    if (writer.epoch() < epoch) {
      throw new StoreException(Kind.SUPERSEDED, "writer is fenced by a higher epoch");
    }
    if (writer.epoch() > epoch) {
      epoch = writer.epoch();
      lastAppend = null;
      return Optional.empty();
    }
    if (writer.sequence() == lastAppend.sequence()) {
      return Optional.of(lastAppend.offset());
    }
    if (writer.sequence() != lastAppend.sequence() + 1) {
      throw new StoreException(
          Kind.SUPERSEDED, "sequence number of the writer is not the next one");
    }
    return Optional.empty();
  }

  /** Returns the offset of the next record. */
  public long end() {
    return firstOffset + records.size();
  }

  /**
   * Returns the records from an offset on.
   *
   * @throws StoreException if records from that offset on have been trimmed
   */
  public List<Entry> readFrom(long offset) throws StoreException {
    if (offset < firstOffset) {
      throw new StoreException(Kind.TRIMMED, "offset precedes the first retained record");
    }
    int skip = (int) (offset - firstOffset);
    return skip >= records.size() ? List.of() : List.copyOf(records.subList(skip, records.size()));
  }

  /** Returns the newest record of each key, without deleted keys. */
  public List<Entry> newest() {
    return List.copyOf(newest.values());
  }

  /** Sets when appends with a higher epoch than any before are executed; until then, they wait. */
  public void newEpochsFrom(long millis) {
    newEpochsFrom = millis;
  }

  /**
   * Returns after how many milliseconds an append of a writer is executed if no other one waits.
   */
  long delayMillis(Optional<FencedWriter> writer, long now) {
    boolean newEpoch = writer.filter(w -> w.epoch() > epoch).isPresent();
    return newEpoch ? Math.max(0, newEpochsFrom - now) : 0;
  }

  /** Returns whether a key has a record that is not deleted. */
  boolean contains(String key) {
    return newest.containsKey(key);
  }

  /** Registers a listener that is called once, after the next append. */
  public void onAppend(Runnable listener) {
    appendListeners.add(listener);
  }

  /** Trims all records; {@link #newest} still returns the newest record of each key. */
  public void compact() {
    firstOffset = end();
    records.clear();
  }

  /** Sets how records are changed before they are stored. */
  void change(UnaryOperator<Entry> value) {
    change = value;
  }

  /**
   * Sets which records are followed by a tombstone of their key.
   *
   * @param condition asked just before a record is stored
   */
  void deleteIf(Predicate<Entry> condition) {
    deletion = condition;
  }

  /** Sets how long the log takes for an append; it executes them one at a time. */
  void appendMillis(long millis) {
    appendMillis = millis;
  }

  /**
   * Adds an append to those that the log executes, and returns after how many milliseconds it is
   * executed.
   *
   * @throws StoreException if too many appends wait
   */
  long enqueueAppend(long now) throws StoreException {
    long wait = Math.max(0, busyUntil - now);
    if (wait > MAX_QUEUE_MILLIS) {
      throw new StoreException(Kind.REFUSED, "appends of " + wait + " ms wait");
    }
    busyUntil = now + wait + appendMillis;
    return wait + appendMillis;
  }

  /** Sets whether reads from an offset fail. */
  public void unreadable(boolean value) {
    unreadable = value;
  }

  boolean isUnreadable() {
    return unreadable;
  }

  void countAppend() {
    appends++;
  }

  void countRead() {
    reads++;
  }

  /** Returns the number of calls that appended to the topic. */
  public long appends() {
    return appends;
  }

  /** Returns the number of calls that read from the topic. */
  public long reads() {
    return reads;
  }
}
