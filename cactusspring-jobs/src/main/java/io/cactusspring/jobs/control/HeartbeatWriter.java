package io.cactusspring.jobs.control;

import io.cactusspring.jobs.ledger.LeaseBounds;
import io.cactusspring.jobs.ledger.LedgerCodec;
import io.cactusspring.jobs.ledger.OwnerRecord;
import io.cactusspring.jobs.port.KeyedTopic;
import io.cactusspring.jobs.port.KeyedTopic.Batch;
import io.cactusspring.jobs.port.StoreException;
import io.cactusspring.jobs.port.Timers;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.stream.Stream;

/**
 * Writes the owner's heartbeats, and at last its release, to the ownership partition.
 *
 * <p>Each record is appended only if it directly follows the one before. A stored heartbeat
 * therefore proves that no other host had claimed ownership until then, and a later owner relies on
 * what the newest one says of leases.
 */
final class HeartbeatWriter {
  private static final long INTERVAL_MILLIS = EarlierLeases.HEARTBEAT_INTERVAL_MILLIS;
  private static final long RETRY_MILLIS = 50;

  private final KeyedTopic topic;
  private final Timers timers;
  private final AgeClock clock;
  private final Consumer<String> onSuperseded;
  private final ResponseTimes responseTimes = new ResponseTimes();
  private LongFunction<LeaseBounds> leases;
  private OwnerRecord last;
  private long end;
  private Optional<Write> write = Optional.empty();
  private Optional<Promise<Void>> leaseRecord = Optional.empty();
  private Optional<Promise<Void>> release = Optional.empty();
  private long lastStoredSentAt;
  private AgeClock.Mark owned;
  private boolean stopped;

  /** One record on its way to the store, of which several copies may be sent. */
  private static final class Write {
    private final OwnerRecord record;
    private final AgeClock.Mark sent;
    private final Optional<Promise<Void>> requested;
    private int inFlight;

    Write(OwnerRecord record, AgeClock.Mark sent, Optional<Promise<Void>> requested) {
      this.record = record;
      this.sent = sent;
      this.requested = requested;
    }
  }

  /**
   * Creates a writer.
   *
   * @param claim the stored claim
   * @param end offset that follows the claim
   * @param claimSentAt when the claim was first sent
   * @param leases returns the bounds of the leases at a time
   * @param onSuperseded called with the reason when another host has claimed ownership
   */
  HeartbeatWriter(
      KeyedTopic topic,
      OwnerRecord claim,
      long end,
      long claimSentAt,
      LongFunction<LeaseBounds> leases,
      Timers timers,
      Consumer<String> onSuperseded) {
    this.topic = topic;
    this.end = end;
    this.leases = leases;
    this.timers = timers;
    this.onSuperseded = onSuperseded;
    last = claim;
    lastStoredSentAt = timers.nowMillis();
    clock = new AgeClock(timers);
    owned = clock.mark().earlierBy(lastStoredSentAt - claimSentAt);
  }

  /** Returns when the last record was sent that is known to be stored. */
  long lastStoredSentAt() {
    return lastStoredSentAt;
  }

  /**
   * Returns the milliseconds since a time at which no other host had claimed ownership; {@link
   * AgeClock#UNKNOWN} if the clocks do not tell. That time is not later than the time at which the
   * newest record of this term was stored, so a later owner that has read the record knows a bound.
   */
  long millisSinceOwned() {
    return clock.millisSince(owned);
  }

  /** Sets what the next records say of leases. */
  void leases(LongFunction<LeaseBounds> bounds) {
    leases = bounds;
  }

  /** Returns whether a later owner will expect leases of this one. */
  boolean allowsLeases() {
    return last.leases().filter(LeaseBounds::granted).isPresent();
  }

  /** Returns whether a later owner will expect leases of this one on an executor. */
  boolean allowsLease(String executor) {
    return allowsLeases()
        && Stream.concat(Stream.of(last), write.stream().map(w -> w.record))
            .noneMatch(r -> silentExecutors(r).contains(executor));
  }

  /** Returns whether a later owner will expect a lease of an executor that lasts so long. */
  boolean coversLease(String executor, long millis) {
    return millis == 0 || last.leases().filter(l -> l.covers(executor, millis)).isPresent();
  }

  /** Returns the executors that the newest record, which may not be stored yet, names as silent. */
  Set<String> silentExecutors() {
    return silentExecutors(write.map(w -> w.record).orElse(last));
  }

  private static Set<String> silentExecutors(OwnerRecord record) {
    return record.leases().map(l -> l.silentExecutorMillis().keySet()).orElse(Set.of());
  }

  /**
   * Writes what is to be said of leases now, without waiting for the next heartbeat; completes when
   * it is stored.
   */
  Future<Void> writeLeases() {
    Promise<Void> promise = leaseRecord.orElseGet(Promise::promise);
    leaseRecord = Optional.of(promise);
    if (write.isEmpty()) {
      startLeaseRecord();
    }
    return promise.future();
  }

  // It repeats the number of the last heartbeat, by which a later owner tells the claim's age.
  private void startLeaseRecord() {
    if (!stopped && release.isEmpty()) {
      start(last);
    }
  }

  /** Writes a heartbeat if one is due. */
  void tick() {
    if (!stopped && write.isEmpty() && timers.nowMillis() - lastStoredSentAt >= INTERVAL_MILLIS) {
      start(last.nextHeartbeat());
    }
  }

  /** Ends the heartbeats without a release. */
  void stop() {
    stopped = true;
  }

  /** Records that the owner gives up its term; completes when that is stored. */
  Future<Void> release() {
    Promise<Void> promise = Promise.promise();
    release = Optional.of(promise);
    if (write.isEmpty()) {
      startRelease();
    }
    return promise.future();
  }

  private void startRelease() {
    start(last.release());
  }

  private void start(OwnerRecord record) {
    AgeClock.Mark now = clock.mark();
    Write started =
        new Write(record.withLeases(leases.apply(now.steadyMillis())), now, leaseRecord);
    leaseRecord = Optional.empty();
    write = Optional.of(started);
    send(started);
  }

  private void send(Write current) {
    if (stopped || !isCurrent(current)) {
      return;
    }
    current.inFlight++;
    long sentAt = timers.nowMillis();
    topic
        .appendAt(end, List.of(LedgerCodec.owner(current.record)))
        .onComplete(
            done -> {
              responseTimes.add(timers.nowMillis() - sentAt);
              stored(current, end + 1);
            },
            problem -> {
              current.inFlight--;
              failed(current, problem);
            });
    timers.after(responseTimes.overdueMillis(), () -> sendDuplicate(current));
  }

  private void sendDuplicate(Write current) {
    if (isCurrent(current) && current.inFlight == 1) {
      send(current);
    }
  }

  private boolean isCurrent(Write checked) {
    return write.filter(w -> w == checked).isPresent();
  }

  private void stored(Write done, long newEnd) {
    if (!isCurrent(done)) {
      return;
    }
    write = Optional.empty();
    end = newEnd;
    last = done.record;
    lastStoredSentAt = Math.max(lastStoredSentAt, done.sent.steadyMillis());
    if (clock.millisSince(done.sent) < millisSinceOwned()) {
      owned = done.sent;
    }
    if (done.record.released()) {
      stopped = true;
      release.ifPresent(Promise::tryComplete);
    } else if (release.isPresent()) {
      startRelease();
    } else if (leaseRecord.isPresent()) {
      startLeaseRecord();
    }
    done.requested.ifPresent(Promise::tryComplete);
  }

  private void failed(Write current, Throwable problem) {
    if (!isCurrent(current)) {
      return;
    }
    if (StoreException.kindOf(problem) == StoreException.Kind.CONFLICT) {
      verify(current);
    } else {
      timers.after(RETRY_MILLIS, () -> retry(current));
    }
  }

  private void retry(Write current) {
    if (isCurrent(current) && current.inFlight == 0) {
      send(current);
    }
  }

  /** Reads whether an earlier copy of the record or the claim of another host is stored. */
  private void verify(Write current) {
    topic
        .read(end, 0)
        .onComplete(
            batch -> {
              if (isCurrent(current)) {
                verified(current, batch);
              }
            },
            problem -> {
              if (StoreException.kindOf(problem) == StoreException.Kind.TRIMMED) {
                superseded("the history of the ownership partition was dropped");
              } else {
                timers.after(RETRY_MILLIS, () -> verifyAgain(current));
              }
            });
  }

  private void verifyAgain(Write current) {
    if (!stopped && isCurrent(current)) {
      verify(current);
    }
  }

  private void verified(Write current, Batch batch) {
    boolean foreign =
        batch.entries().stream()
            .map(LedgerCodec::ownerOf)
            .anyMatch(o -> o.filter(last::isSameClaim).isEmpty());
    if (foreign) {
      superseded("the ledger names a later owner");
    } else if (!batch.entries().isEmpty()) {
      stored(current, batch.next());
    } else {
      timers.after(RETRY_MILLIS, () -> retry(current));
    }
  }

  private void superseded(String reason) {
    if (!stopped) {
      stopped = true;
      write = Optional.empty();
      release.ifPresent(Promise::tryComplete);
      onSuperseded.accept(reason);
    }
  }
}
