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
 * Replays the platform's log into the cell and appends to it, through a peer where the log cannot
 * be reached from here. Runs on the control context.
 *
 * @since 0.1
 */
public final class LogController {
  private static final EventLog LOG = EventLog.of(LogController.class);
  private static final long RETRY_MILLIS = 250;

  /** Parts in a thousand by which the clocks of two hosts may drift apart. */
  private static final long DRIFT_PER_MILLE = 20;

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
   * @param waitMillis how long one read waits for a record
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

  /** Starts to read; goes on until {@link #stop}. */
  public void start() {
    unreachableSinceMillis = clock.millis();
    readNext();
  }

  /** Stops reading. */
  public void stop() {
    stopped = true;
  }

  /** Whether the state has once reached the end of the log, or of what a peer knew of it. */
  public boolean caughtUp() {
    return caughtUp;
  }

  /** Whether the log takes appends, directly or through a peer. */
  public boolean available() {
    return directlyReachable || relay.available();
  }

  /** Whether the log answers this host itself. */
  public boolean directlyReachable() {
    return directlyReachable;
  }

  /**
   * Appends records as one batch.
   *
   * @return completes when an answer came; a failure means that the records may still land
   */
  public Future<Void> append(List<LogRecord> records) {
    List<String> encoded = records.stream().map(cell::encode).toList();
    return appendEncoded(encoded);
  }

  /** Appends encoded records; see {@link #append}. */
  public Future<Void> appendEncoded(List<String> records) {
    Future<Void> direct =
        directlyReachable ? log.append(records) : Future.failedFuture("log is not reachable");
    return direct
        .recover(e -> relay.append(records))
        .onFailure(e -> LOG.event(Event.APPEND_UNKNOWN, records.size()));
  }

  /** Appends for a peer, never through another peer. */
  public Future<Void> appendForPeer(List<String> records) {
    return directlyReachable ? log.append(records) : Future.failedFuture("log is not reachable");
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
                answered(r.result(), sentAt);
              } else {
                failed(r.cause());
              }
            });
  }

  private void answered(LogReadResult read, long sentAtMillis) {
    if (!directlyReachable) {
      directlyReachable = true;
      LOG.event(Event.LOG_REACHABLE, clock.millis() - unreachableSinceMillis);
    }
    switch (read) {
      case LogReadResult.Records r -> {
        cell.apply(r.records());
        if (cell.nextOffset() >= r.next()) {
          reachedEnd(sentAtMillis);
        }
        readNext();
      }
      case LogReadResult.Expired e -> startOver(e);
    }
  }

  private void reachedEnd(long sentAtMillis) {
    caughtUp = true;
    cell.locked(
        () -> {
          authority.logRead(sentAtMillis);
          return null;
        });
  }

  private void failed(Throwable cause) {
    if (directlyReachable) {
      directlyReachable = false;
      unreachableSinceMillis = clock.millis();
      LOG.event(Event.LOG_UNREACHABLE, cause.getMessage());
    }
    readFromPeer().onComplete(x -> vertx.setTimer(RETRY_MILLIS, t -> readNext()));
  }

  /** Records are gone that this host has not read: only a snapshot can take it further. */
  private void startOver(LogReadResult.Expired expired) {
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

  /** Reads from the best peer; completes with whether the state went forward. */
  private Future<Boolean> readFromPeer() {
    long sentAt = clock.millis();
    long before = cell.nextOffset();
    return relay
        .records(before)
        .map(
            reply -> {
              take(reply, sentAt);
              return cell.nextOffset() > before;
            })
        .otherwise(false);
  }

  private void take(RecordsReply reply, long sentAtMillis) {
    if (reply.isSetSnapshot()) {
      restore(new Cell.Snapshot(reply.getSnapshot(), reply.getSnapshotNextOffset()), "a peer");
    }
    cell.apply(
        reply.getRecords().stream()
            .map(r -> new LogReadResult.Entry(r.getOffset(), r.getData()))
            .toList());
    if (cell.nextOffset() >= reply.getNextOffset()) {
      long age = reply.getLogAgeMillis();
      reachedEnd(sentAtMillis - age - age * DRIFT_PER_MILLE / 1000 - 1);
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
