package io.cactusspring.jobs.simulation;

import io.cactusspring.jobs.port.KeyedTopic.Entry;
import io.cactusspring.jobs.port.KeyedTopic.FencedWriter;
import io.cactusspring.jobs.port.StoreException;
import io.cactusspring.jobs.port.StoreException.Kind;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A keyed topic as the store holds it: records, the newest of each key, and a fenced writer. */
public final class FakeLog {
  private long appends;
  private long reads;

  private record LastAppend(long sequence, long offset) {}

  private final List<Entry> records = new ArrayList<>();
  private final Map<String, Entry> newest = new LinkedHashMap<>();
  private final List<Runnable> appendListeners = new ArrayList<>();
  private long firstOffset;
  private long epoch = Long.MIN_VALUE;
  private LastAppend lastAppend;

  /** Appends, unless the writer is fenced. */
  public long append(List<Entry> entries, Optional<FencedWriter> writer) throws StoreException {
    if (writer.isPresent()) {
      Optional<Long> repeated = checkWriter(writer.get());
      if (repeated.isPresent()) {
        return repeated.get();
      }
    }
    long offset = end();
    writer.ifPresent(w -> lastAppend = new LastAppend(w.sequence(), offset));
    for (Entry e : entries) {
      Entry stored = new Entry(e.key(), e.value(), end());
      records.add(stored);
      if (e.value() == null) {
        newest.remove(e.key());
      } else {
        newest.put(e.key(), stored);
      }
    }
    List<Runnable> listeners = List.copyOf(appendListeners);
    appendListeners.clear();
    listeners.forEach(Runnable::run);
    return offset;
  }

  private Optional<Long> checkWriter(FencedWriter writer) throws StoreException {
    if (writer.epoch() < epoch) {
      throw new StoreException(Kind.SUPERSEDED, "fenced");
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
      throw new StoreException(Kind.SUPERSEDED, "sequence");
    }
    return Optional.empty();
  }

  public long end() {
    return firstOffset + records.size();
  }

  /** Returns the records from an offset on. */
  public List<Entry> readFrom(long offset) throws StoreException {
    if (offset < firstOffset) {
      throw new StoreException(Kind.TRIMMED, "trimmed");
    }
    int skip = (int) (offset - firstOffset);
    return skip >= records.size() ? List.of() : List.copyOf(records.subList(skip, records.size()));
  }

  public List<Entry> newest() {
    return List.copyOf(newest.values());
  }

  /** Calls once when a record is appended. */
  public void onAppend(Runnable listener) {
    appendListeners.add(listener);
  }

  /** Drops the history, but not the newest record of a key. */
  public void compact() {
    firstOffset = end();
    records.clear();
  }

  void countAppend() {
    appends++;
  }

  void countRead() {
    reads++;
  }

  /** Returns how many calls wrote to it. */
  public long appends() {
    return appends;
  }

  /** Returns how many calls read from it. */
  public long reads() {
    return reads;
  }
}
