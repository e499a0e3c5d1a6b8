package io.cactusspring.daemon.control;

import io.cactusspring.core.codec.CodecException;
import io.cactusspring.core.membership.Authority;
import io.cactusspring.core.model.LogRecord;
import io.cactusspring.daemon.cell.Cell;
import io.cactusspring.daemon.cell.MonotonicClock;
import io.cactusspring.daemon.log.Event;
import io.cactusspring.daemon.log.EventLog;
import io.cactusspring.daemon.platform.LogReadResult;
import io.cactusspring.daemon.platform.PlatformLog;
import io.cactusspring.protocol.gen.RecordsReply;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;

/**
 * Replays the platform's log into the cell and appends to it. Both go through a peer while this
 * host cannot reach the log. Runs on the control context.
 *
 * @since 0.1
 */
public final class LogController {
  private static final EventLog LOG = EventLog.of(LogController.class);
  private static final long RETRY_MILLIS = 250;

  /** Bound on the drift between two hosts' clocks, in thousandths. */
  private static final long CLOCK_DRIFT_PER_MILLE = 20;

  private final Vertx vertx;
  private final Cell cell;
  private final PlatformLog log;
  private final Authority authority;
  private final LogRelay relay;
  private final SnapshotFinder snapshots;
  private final MonotonicClock clock;
  private final long waitMillis;
  private volatile boolean directlyReachable;
  private volatile boolean caughtUp;
  private long unreachableSinceMillis;
  private boolean stopped;

  /**
   * @param waitMillis how long the log holds one read open for a new record, in milliseconds
   */
  public LogController(
      Vertx vertx,
      Cell cell,
      PlatformLog log,
      Authority authority,
      LogRelay relay,
      MonotonicClock clock,
      long waitMillis) {
    this.vertx = vertx;
    this.cell = cell;
    this.log = log;
    this.authority = authority;
    this.relay = relay;
    this.snapshots = new SnapshotFinder(log);
    this.clock = clock;
    this.waitMillis = waitMillis;
  }

  /** Starts reading the log, until {@link #stop} is called. */
  public void start() {
    unreachableSinceMillis = clock.millis();
    readNext();
  }

  /** Stops reading. */
  public void stop() {
    stopped = true;
  }

  /**
   * Returns whether the state has ever reached the end of the log or of a peer's replayed state.
   */
  public boolean caughtUp() {
    return caughtUp;
  }

  /** Returns whether appends can reach the log, directly or through a peer. */
  public boolean available() {
    return directlyReachable || relay.available();
  }

  /** Returns whether the last direct read of the log from this host succeeded. */
  public boolean directlyReachable() {
    return directlyReachable;
  }

  /**
   * Appends records as one batch.
   *
   * @return completes when the append is acknowledged; after a failure the records may still have
   *     been appended
   */
  public Future<Void> append(List<LogRecord> records) {
    List<String> encoded = records.stream().map(cell::encode).toList();
    return appendEncoded(encoded);
  }

  /** Appends encoded records as one batch, like {@link #append}. */
  public Future<Void> appendEncoded(List<String> records) {
    Future<Void> direct =
        directlyReachable
            ? log.append(records)
            : Future.failedFuture("platform log is not reachable from this host");
    return direct
        .recover(e -> relay.append(records))
        .onFailure(e -> LOG.event(Event.APPEND_UNKNOWN, records.size()));
  }

  /** Appends records for a peer, but never through another peer. */
  public Future<Void> appendForPeer(List<String> records) {
    return directlyReachable
        ? log.append(records)
        : Future.failedFuture("platform log is not reachable from this host");
  }

  private void readNext() {
    if (stopped) {
      return;
    }
    long sentAt = clock.millis();
    long from = cell.nextOffset();
    log.read(from, directlyReachable ? waitMillis : 0)
        .onComplete(
            r -> {
              if (r.succeeded()) {
                onRead(r.result(), sentAt);
              } else {
                onReadFailure(r.cause());
              }
            });
  }

  private void onRead(LogReadResult result, long sentAtMillis) {
    if (!directlyReachable) {
      directlyReachable = true;
      LOG.event(Event.LOG_REACHABLE, clock.millis() - unreachableSinceMillis);
    }
    switch (result) {
      case LogReadResult.Records r -> {
        cell.apply(r.records());
        if (cell.nextOffset() >= r.next()) {
          onEndReached(sentAtMillis);
        }
        readNext();
      }
      case LogReadResult.Expired e -> recoverFromGap(e);
    }
  }

  private void onEndReached(long sentAtMillis) {
    caughtUp = true;
    cell.locked(
        () -> {
          authority.recordLogRead(sentAtMillis);
          return null;
        });
  }

  private void onReadFailure(Throwable cause) {
    if (directlyReachable) {
      directlyReachable = false;
      unreachableSinceMillis = clock.millis();
      LOG.event(Event.LOG_UNREACHABLE, cause.getMessage());
    }
    readFromPeer().onComplete(x -> vertx.setTimer(RETRY_MILLIS, t -> readNext()));
  }

  /**
   * Recovers after the log has dropped records that this host has not read. If no peer has retained
   * them, only a snapshot can advance the state.
   */
  private void recoverFromGap(LogReadResult.Expired expired) {
    LOG.event(Event.GAP_NOTICED, cell.nextOffset(), expired.earliest());
    readFromPeer()
        .compose(progress -> progress ? Future.succeededFuture() : restoreFromLog(expired))
        .onComplete(x -> vertx.setTimer(RETRY_MILLIS, t -> readNext()));
  }

  private Future<Void> restoreFromLog(LogReadResult.Expired expired) {
    return snapshots
        .find(expired)
        .onSuccess(s -> s.ifPresent(n -> restore(n, "the platform's log")))
        .mapEmpty();
  }

  /** Reads from the most advanced peer. Completes with true if the state has advanced. */
  private Future<Boolean> readFromPeer() {
    long sentAt = clock.millis();
    long before = cell.nextOffset();
    return relay
        .records(before)
        .map(
            reply -> {
              applyReply(reply, sentAt);
              return cell.nextOffset() > before;
            })
        .otherwise(false);
  }

  private void applyReply(RecordsReply reply, long sentAtMillis) {
    if (reply.isSetSnapshot()) {
      restore(new Cell.Snapshot(reply.getSnapshot(), reply.getSnapshotNextOffset()), "a peer");
    }
    cell.apply(
        reply.getRecords().stream()
            .map(r -> new LogReadResult.Entry(r.getOffset(), r.getData()))
            .toList());
    if (cell.nextOffset() >= reply.getNextOffset()) {
      long age = reply.getLogAgeMillis();
      onEndReached(sentAtMillis - age - age * CLOCK_DRIFT_PER_MILLE / 1000 - 1);
    }
  }

  private void restore(Cell.Snapshot snapshot, String source) {
    try {
      if (cell.restore(snapshot)) {
        LOG.event(Event.SNAPSHOT_RESTORED, snapshot.nextOffset(), source);
      }
    } catch (CodecException e) {
      LOG.failure(Event.INTERNAL_ERROR, e, "snapshot", e.getMessage());
    }
  }
}
