package io.cactusspring.jobs.control;

import io.cactusspring.jobs.ledger.LedgerCodec;
import io.cactusspring.jobs.log.JobEvent;
import io.cactusspring.jobs.log.JobLog;
import io.cactusspring.jobs.port.KeyedTopic;
import io.cactusspring.jobs.port.KeyedTopic.Entry;
import io.cactusspring.jobs.port.KeyedTopic.FencedWriter;
import io.cactusspring.jobs.port.Timers;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/**
 * Appends the owner's batches to the lanes, partitions of the ledger that only the owner writes.
 *
 * <p>The store executes the appends of a partition one after the other. While it is slow, further
 * lanes take the batches that would otherwise wait for the append before. Each lane is fenced: once
 * a later owner has written to it, the appends of this one are refused.
 */
final class LaneWriter {
  /** Time for which an append is in flight before the next batch goes to another lane. */
  private static final long MIN_OVERLAP_MILLIS = 20;

  /**
   * A deletion that waits for the next append to its lane.
   *
   * @param done called when the tombstone is stored
   */
  private record Deletion(Entry tombstone, Runnable done) {}

  private static final class Lane {
    private final KeyedTopic topic;
    private final Map<String, Deletion> deletions = new LinkedHashMap<>();

    /** Keys of the records and tombstones that are being appended. */
    private final Set<String> inFlight = new HashSet<>();

    private long sequence;
    private boolean busy;

    Lane(KeyedTopic topic) {
      this.topic = topic;
    }
  }

  private final List<Lane> lanes = new ArrayList<>();
  private final long term;
  private final int requestBytes;
  private final Timers timers;
  private final JobLog log;
  private final BooleanSupplier active;
  private final ResponseTimes responseTimes = new ResponseTimes();
  private long lastSentAt = Long.MIN_VALUE / 2;
  private long lastStoredSentAt = Long.MIN_VALUE / 2;

  /**
   * @param firstSequence sequence number of the first append to each lane
   * @param requestBytes most that the records of one append hold together
   * @param active whether appends are to be retried
   */
  LaneWriter(
      List<KeyedTopic> topics,
      long term,
      long firstSequence,
      int requestBytes,
      Timers timers,
      JobLog log,
      BooleanSupplier active) {
    this.term = term;
    this.requestBytes = requestBytes;
    this.timers = timers;
    this.log = log;
    this.active = active;
    topics.forEach(
        t -> {
          Lane lane = new Lane(t);
          lane.sequence = firstSequence - 1;
          lanes.add(lane);
        });
  }

  /** Makes the store refuse all later appends of earlier owners, in all lanes. */
  Future<Void> fence() {
    List<Future<Long>> fences = new ArrayList<>();
    for (int i = 0; i < lanes.size(); i++) {
      fences.add(append(lanes.get(i), List.of(LedgerCodec.fence(term))));
    }
    return Future.all(fences).mapEmpty();
  }

  /** Returns the number of lanes. */
  int count() {
    return lanes.size();
  }

  /** Returns the lane for the next batch; empty if the batch has to wait. */
  OptionalInt free() {
    if (waitMillis() > 0) {
      return OptionalInt.empty();
    }
    for (int i = 0; i < lanes.size(); i++) {
      if (!lanes.get(i).busy) {
        return OptionalInt.of(i);
      }
    }
    return OptionalInt.empty();
  }

  /** Returns for how long the next batch has to wait even if a lane is idle. */
  long waitMillis() {
    if (lanes.stream().noneMatch(l -> l.busy)) {
      return 0;
    }
    long overlap = Math.max(MIN_OVERLAP_MILLIS, responseTimes.averageMillis() / lanes.size());
    return Math.max(0, lastSentAt + overlap - timers.nowMillis());
  }

  /** Returns whether no append is in flight. */
  boolean isIdle() {
    return lanes.stream().noneMatch(l -> l.busy);
  }

  /** Returns when the last append was sent that is known to be stored. */
  long lastStoredSentAt() {
    return lastStoredSentAt;
  }

  /** Returns the average time that an append takes, in milliseconds. */
  long averageMillis() {
    return responseTimes.averageMillis();
  }

  /**
   * Appends records to an idle lane, together with deletions that wait for it. Records that exceed
   * what one append may hold are appended one part after the other.
   *
   * @return fails if the term is over
   */
  Future<Void> write(int number, List<Entry> entries) {
    Lane lane = lanes.get(number);
    List<Deletion> deletions = List.copyOf(lane.deletions.values());
    lane.deletions.clear();
    List<Entry> tombstones = deletions.stream().map(Deletion::tombstone).toList();
    if (!tombstones.isEmpty()) {
      log.event(
          JobEvent.RECORDS_DELETED,
          "term",
          term,
          "lane",
          number,
          "sequence",
          lane.sequence + 1,
          "keys",
          tombstones.stream().map(Entry::key).toList());
    }
    // Deletions come first: a key may be written again.
    List<Entry> all = Stream.concat(tombstones.stream(), entries.stream()).toList();
    all.forEach(e -> lane.inFlight.add(e.key()));
    return append(lane, all)
        .onSuccess(
            sentAt -> {
              lane.inFlight.clear();
              deletions.forEach(d -> d.done.run());
            })
        .mapEmpty();
  }

  /** Returns whether a record or tombstone of a key is being appended to any lane. */
  boolean isInFlight(String key) {
    return lanes.stream().anyMatch(l -> l.inFlight.contains(key));
  }

  private Future<Long> append(Lane lane, List<Entry> entries) {
    lane.busy = true;
    int size = entriesOfOneAppend(entries);
    List<Entry> rest = entries.subList(size, entries.size());
    return appendAtOnce(lane, entries.subList(0, size))
        .compose(
            sentAt -> {
              lane.busy = !rest.isEmpty();
              return rest.isEmpty() ? Future.succeededFuture(sentAt) : append(lane, rest);
            });
  }

  /** Returns how many of some records the next append holds, at least one if there is any. */
  private int entriesOfOneAppend(List<Entry> entries) {
    int size = 0;
    long bytes = 0;
    for (Entry entry : entries) {
      bytes += entry.bytes();
      if (bytes > requestBytes && size > 0) {
        return size;
      }
      size++;
    }
    return size;
  }

  private Future<Long> appendAtOnce(Lane lane, List<Entry> entries) {
    lastSentAt = timers.nowMillis();
    long sequence = ++lane.sequence;
    FencedWriter writer = new FencedWriter(term, sequence);
    return new RetryingAppend(lane.topic, timers, responseTimes, entries, writer)
        .run(active)
        .onComplete(
            sentAt -> lastStoredSentAt = Math.max(lastStoredSentAt, sentAt),
            problem ->
                log.event(
                    JobEvent.APPEND_FAILED, "term", term, "sequence", sequence, "reason", problem));
  }

  /**
   * Deletes what a lane holds of a key, with one of the next appends to it. Has no effect while a
   * record of the key is being appended to the lane: the tombstone would delete that record, too.
   *
   * @param done called when the deletion is stored
   */
  void delete(int number, Entry tombstone, Runnable done) {
    Lane lane = lanes.get(number);
    if (!lane.inFlight.contains(tombstone.key())) {
      lane.deletions.put(tombstone.key(), new Deletion(tombstone, done));
    }
  }

  /** Writes the deletions that wait for idle lanes. */
  void flushDeletions() {
    for (int i = 0; i < lanes.size(); i++) {
      Lane lane = lanes.get(i);
      if (!lane.busy && !lane.deletions.isEmpty()) {
        write(i, List.of());
      }
    }
  }
}
