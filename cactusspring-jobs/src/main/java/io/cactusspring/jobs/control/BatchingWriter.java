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
 * Appends records of many callers with few calls.
 *
 * <p>The store does the appends of a partition one after the other. So records that come while an
 * append is under way wait for its answer and then go together. An append whose answer is probably
 * lost holds up nothing.
 */
final class BatchingWriter {
  private static final int MOST_RECORDS = 200;
  // One whose answer may be lost, and one besides; more would only queue up in a slow store.
  private static final int MOST_UNDER_WAY = 2;

  private record Waiting(Entry entry, Promise<Void> stored) {}

  private final KeyedTopic topic;
  private final Timers timers;
  private final AnswerTimes answers = new AnswerTimes();
  private final Deque<Waiting> queue = new ArrayDeque<>();
  private int blocking;
  private int underWay;

  BatchingWriter(KeyedTopic topic, Timers timers) {
    this.topic = topic;
    this.timers = timers;
  }

  /** Appends a record; fails as the append that held it. */
  Future<Void> append(Entry entry) {
    Promise<Void> stored = Promise.promise();
    queue.add(new Waiting(entry, stored));
    sendNext();
    return stored.future();
  }

  private void sendNext() {
    if (blocking > 0 || underWay >= MOST_UNDER_WAY || queue.isEmpty()) {
      return;
    }
    List<Waiting> batch = new ArrayList<>();
    while (!queue.isEmpty() && batch.size() < MOST_RECORDS) {
      batch.add(queue.remove());
    }
    send(batch);
  }

  private void send(List<Waiting> batch) {
    long sentAt = timers.nowMillis();
    blocking++;
    underWay++;
    Runnable release = once(this::unblock);
    timers.after(answers.overdueMillis(), release);
    topic
        .append(batch.stream().map(Waiting::entry).toList(), Optional.empty())
        .onSuccess(
            offset -> {
              answers.answered(timers.nowMillis() - sentAt);
              batch.forEach(w -> w.stored.complete());
            })
        .onFailure(problem -> batch.forEach(w -> w.stored.fail(problem)))
        .onComplete(
            result -> {
              underWay--;
              release.run();
              sendNext();
            });
  }

  private void unblock() {
    blocking--;
    sendNext();
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
