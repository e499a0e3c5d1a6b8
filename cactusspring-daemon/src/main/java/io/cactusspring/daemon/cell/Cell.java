package io.cactusspring.daemon.cell;

import io.cactusspring.core.codec.CodecException;
import io.cactusspring.core.codec.RecordCodec;
import io.cactusspring.core.codec.SnapshotCodec;
import io.cactusspring.core.config.Configuration;
import io.cactusspring.core.model.LogRecord;
import io.cactusspring.core.state.ClusterState;
import io.cactusspring.core.state.StateChange;
import io.cactusspring.daemon.log.Event;
import io.cactusspring.daemon.log.EventLog;
import io.cactusspring.daemon.platform.LogReadResult;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Replayed state of the cell, guarded by one lock. Retains the most recently applied records for
 * peers that cannot reach the log.
 *
 * @since 0.1
 */
public final class Cell {
  private static final EventLog LOG = EventLog.of(Cell.class);

  private final ReentrantLock lock = new ReentrantLock();
  private final RecordCodec codec = new RecordCodec();
  private final List<CellListener> listeners = new ArrayList<>();
  private final Deque<LogReadResult.Entry> recentRecords = new ArrayDeque<>();
  private final int keepRecords;
  private ClusterState state = new ClusterState();
  private volatile Configuration configuration = Configuration.EMPTY;

  /** Creates an empty cell that retains up to the given number of records for peers. */
  public Cell(int keepRecords) {
    this.keepRecords = keepRecords;
  }

  /** Adds a listener. Call it before any record is applied. */
  public void addListener(CellListener listener) {
    listeners.add(listener);
  }

  /** Returns the configuration after the records applied so far. Does not take the lock. */
  public Configuration configuration() {
    return configuration;
  }

  /** Reads the state under the lock. The function must not block or retain the state. */
  public <T> T read(Function<ClusterState, T> reader) {
    return locked(() -> reader.apply(state));
  }

  /** Runs an action under the lock. */
  public <T> T locked(Supplier<T> action) {
    lock.lock();
    try {
      return action.get();
    } finally {
      lock.unlock();
    }
  }

  /** Returns the first offset that has not been applied, at least 1. */
  public long nextOffset() {
    return read(s -> Math.max(1, s.nextOffset()));
  }

  /** Applies records and skips those that the state already covers. */
  public void apply(List<LogReadResult.Entry> entries) {
    locked(
        () -> {
          entries.forEach(this::apply);
          return null;
        });
  }

  /** Returns up to {@code limit} records from an offset on, or empty if they are not retained. */
  public Optional<List<LogReadResult.Entry>> recordsFrom(long offset, int limit) {
    return locked(() -> retainedFrom(offset, limit));
  }

  /** Returns the state as a snapshot, with the first offset that it does not cover. */
  public Snapshot snapshot() {
    Snapshot uncompressed =
        locked(() -> new Snapshot(state.snapshot(), Math.max(1, state.nextOffset())));
    return new Snapshot(SnapshotCodec.compress(uncompressed.data()), uncompressed.nextOffset());
  }

  /**
   * Replaces the state by a snapshot if the snapshot is ahead of it.
   *
   * @return whether the state was replaced
   * @throws CodecException if the snapshot cannot be decoded
   */
  public boolean restore(Snapshot snapshot) throws CodecException {
    ClusterState restored = ClusterState.restore(SnapshotCodec.decompress(snapshot.data()));
    lock.lock();
    try {
      if (restored.nextOffset() <= state.nextOffset()) {
        return false;
      }
      state = restored;
      recentRecords.clear();
      configuration = state.configuration();
      listeners.forEach(CellListener::restored);
      return true;
    } finally {
      lock.unlock();
    }
  }

  /** Encodes a record for the log. */
  public String encode(LogRecord entry) {
    return codec.encode(entry);
  }

  /**
   * Encoded and compressed state.
   *
   * @param nextOffset first offset that the state does not cover
   */
  public record Snapshot(String data, long nextOffset) {}

  private Optional<List<LogReadResult.Entry>> retainedFrom(long offset, int limit) {
    long next = Math.max(1, state.nextOffset());
    if (offset >= next) {
      return Optional.of(List.of());
    }
    if (recentRecords.isEmpty() || recentRecords.peekFirst().offset() > offset) {
      return Optional.empty();
    }
    return Optional.of(
        recentRecords.stream().filter(e -> e.offset() >= offset).limit(limit).toList());
  }

  private void apply(LogReadResult.Entry entry) {
    if (entry.offset() < state.nextOffset()) {
      return;
    }
    recentRecords.addLast(entry);
    if (recentRecords.size() > keepRecords) {
      recentRecords.removeFirst();
    }
    LogRecord decoded = decode(entry);
    if (decoded == null) {
      state.skip(entry.offset());
      return;
    }
    List<StateChange> changes = state.apply(entry.offset(), decoded);
    configuration = state.configuration();
    listeners.forEach(l -> l.applied(entry.offset(), decoded, changes));
  }

  private LogRecord decode(LogReadResult.Entry entry) {
    try {
      return codec.decode(entry.data());
    } catch (CodecException e) {
      LOG.failure(Event.RECORD_UNDECODABLE, e, entry.offset(), e.getMessage());
      return null;
    }
  }
}
