package io.cactusspring.daemon.control;

import io.cactusspring.core.model.LogRecord;
import io.cactusspring.core.model.ShardId;
import io.cactusspring.core.state.SnapshotAssembler;
import io.cactusspring.core.state.StateChange;
import io.cactusspring.daemon.cell.Cell;
import io.cactusspring.daemon.cell.CellListener;
import io.cactusspring.daemon.log.Event;
import io.cactusspring.daemon.log.EventLog;
import java.util.List;
import java.util.UUID;

/**
 * Writes snapshots of the state to the log often enough that the log always retains one. The owner
 * of the cell's first shard is the writer; a second writer at the same time is harmless. Guarded by
 * the lock of the cell.
 *
 * @since 0.1
 */
public final class SnapshotController implements CellListener {
  private static final EventLog LOG = EventLog.of(SnapshotController.class);
  private static final int MAX_PART_CHARS = 65_536;

  private final Cell cell;
  private final LogController log;
  private final ShardController shards;
  private final long recordsPerSnapshot;
  private long newestSnapshotOffset;
  private boolean writing;

  public SnapshotController(
      Cell cell, LogController log, ShardController shards, long recordsPerSnapshot) {
    this.cell = cell;
    this.log = log;
    this.shards = shards;
    this.recordsPerSnapshot = recordsPerSnapshot;
  }

  @Override
  public void applied(long offset, LogRecord entry, List<StateChange> changes) {
    if (entry instanceof LogRecord.SnapshotPart p && p.part() == p.parts() - 1) {
      newestSnapshotOffset = Math.max(newestSnapshotOffset, p.covers());
    }
  }

  @Override
  public void restored() {
    newestSnapshotOffset = Math.max(newestSnapshotOffset, cell.nextOffset());
  }

  /** Writes a snapshot if one is due, this host is the writer and the log is available. */
  public void tick() {
    boolean due =
        cell.locked(
            () -> !writing && cell.nextOffset() - newestSnapshotOffset >= recordsPerSnapshot);
    if (due && log.available() && isWriter()) {
      write();
    }
  }

  private boolean isWriter() {
    return cell.configuration().shards().stream().findFirst().filter(this::owns).isPresent();
  }

  private boolean owns(ShardId shard) {
    return shards.owners().stream().anyMatch(o -> o.shard().equals(shard));
  }

  private void write() {
    writing = true;
    Cell.Snapshot snapshot = cell.snapshot();
    List<LogRecord> parts =
        List.copyOf(
            SnapshotAssembler.split(
                UUID.randomUUID().toString(),
                snapshot.nextOffset(),
                snapshot.data(),
                MAX_PART_CHARS));
    log.append(parts)
        .onSuccess(x -> LOG.event(Event.SNAPSHOT_WRITTEN, snapshot.nextOffset()))
        .onComplete(x -> writing = false);
  }
}
