package io.cactusspring.daemon.control;

import io.cactusspring.core.codec.CodecException;
import io.cactusspring.core.codec.RecordCodec;
import io.cactusspring.core.model.LogRecord;
import io.cactusspring.core.state.SnapshotAssembler;
import io.cactusspring.daemon.cell.Cell;
import io.cactusspring.daemon.platform.LogReadResult;
import io.cactusspring.daemon.platform.PlatformLog;
import io.vertx.core.Future;
import java.util.Optional;

/** Finds the newest snapshot among the records that the log retains. */
final class SnapshotFinder {
  private final PlatformLog log;
  private final RecordCodec codec = new RecordCodec();

  SnapshotFinder(PlatformLog log) {
    this.log = log;
  }

  /** Reads the log from its earliest record. Completes empty if no snapshot is complete. */
  Future<Optional<Cell.Snapshot>> find(LogReadResult.Expired expired) {
    return scan(expired.earliest(), expired.next(), new SnapshotAssembler());
  }

  private Future<Optional<Cell.Snapshot>> scan(long from, long end, SnapshotAssembler parts) {
    if (from >= end) {
      return Future.succeededFuture(
          parts.newest().map(s -> new Cell.Snapshot(s.text(), s.covers())));
    }
    return log.read(from, 0).compose(r -> scanned(r, from, end, parts));
  }

  private Future<Optional<Cell.Snapshot>> scanned(
      LogReadResult result, long from, long end, SnapshotAssembler parts) {
    return switch (result) {
      case LogReadResult.Expired e -> scan(e.earliest(), end, parts);
      case LogReadResult.Records r -> {
        r.records().forEach(e -> add(e, parts));
        long next = from + Math.max(1, r.records().size());
        yield scan(next, end, parts);
      }
    };
  }

  private void add(LogReadResult.Entry entry, SnapshotAssembler parts) {
    try {
      if (codec.decode(entry.data()) instanceof LogRecord.SnapshotPart p) {
        parts.add(p);
      }
    } catch (CodecException e) {
      // Skipped here; the replay counts and logs records that cannot be decoded.
      return;
    }
  }
}
