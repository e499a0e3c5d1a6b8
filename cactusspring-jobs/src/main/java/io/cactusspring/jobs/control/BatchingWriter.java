package io.cactusspring.jobs.control;

import io.cactusspring.jobs.port.KeyedTopic;
import io.cactusspring.jobs.port.KeyedTopic.Entry;
import io.cactusspring.jobs.port.Timers;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * Batches the records of concurrent callers into few appends.
 *
 * <p>The store executes the appends of a partition one after the other. Records that are added
 * while an append is in flight are therefore queued until its response arrives, and then sent in
 * one batch. An append whose response is overdue, and probably lost, no longer blocks the queue.
 */
final class BatchingWriter {
  private static final int MAX_BATCH_RECORDS = 200;
  // One append whose response may be lost, and one more; others would only queue up in a slow
  // store.
  private static final int MAX_IN_FLIGHT = 2;

  private record PendingRecord(Entry entry, Promise<Void> stored) {}

  private final KeyedTopic topic;
  private final Timers timers;
  private final ResponseTimes responseTimes = new ResponseTimes();
  private final Deque<PendingRecord> queue = new ArrayDeque<>();
  private int blockingAppends;
  private int inFlight;

  BatchingWriter(KeyedTopic topic, Timers timers) {
    this.topic = topic;
    this.timers = timers;
  }

  /** Appends a record; the future fails with the error of the append that contained the record. */
  Future<Void> append(Entry entry) {
    Promise<Void> stored = Promise.promise();
    queue.add(new PendingRecord(entry, stored));
    sendNextBatch();
    return stored.future();
  }

  private void sendNextBatch() {
    if (blockingAppends > 0 || inFlight >= MAX_IN_FLIGHT || queue.isEmpty()) {
      return;
    }
    List<PendingRecord> batch = new ArrayList<>();
    while (!queue.isEmpty() && batch.size() < MAX_BATCH_RECORDS) {
      batch.add(queue.remove());
    }
    send(batch);
  }

  private void send(List<PendingRecord> batch) {
    long sentAt = timers.nowMillis();
    blockingAppends++;
    inFlight++;
    Runnable release = once(this::unblock);
    timers.after(responseTimes.overdueMillis(), release);
    topic
        .append(batch.stream().map(PendingRecord::entry).toList(), Optional.empty())
        .onSuccess(
            offset -> {
              responseTimes.add(timers.nowMillis() - sentAt);
              batch.forEach(w -> w.stored.complete());
            })
        .onFailure(problem -> batch.forEach(w -> w.stored.fail(problem)))
        .onComplete(
            result -> {
              inFlight--;
              release.run();
              sendNextBatch();
            });
  }

  private void unblock() {
    blockingAppends--;
    sendNextBatch();
  }

  private static Runnable once(Runnable task) {
    boolean[] done = {false};
    return () -> {
      if (!done[0]) {
        done[0] = true;
        task.run();
      }
    };
  }
}
