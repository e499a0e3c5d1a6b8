package io.cactusspring.jobs.simulation;

import io.cactusspring.jobs.port.KeyedTopic;
import io.cactusspring.jobs.port.StoreException;
import io.cactusspring.jobs.port.StoreException.Kind;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/** The client of one host for a topic of the store; calls go over the host's link to the store. */
final class FakeTopic implements KeyedTopic {
  private static final long CALL_TIMEOUT_MILLIS = 1_000;

  private final FakeLog log;
  private final Link link;
  private final VirtualTime time;

  FakeTopic(FakeLog log, Link link, VirtualTime time) {
    this.log = log;
    this.link = link;
    this.time = time;
  }

  @Override
  public Future<Long> append(List<Entry> entries, Optional<FencedWriter> writer) {
    log.countAppend();
    List<Entry> copy = List.copyOf(entries);
    return link.call(
        () ->
            after(log.delayMillis(writer, time.now()), () -> inTurn(() -> tryAppend(copy, writer))),
        FakeTopic::noAnswer,
        CALL_TIMEOUT_MILLIS);
  }

  /** Executes an append once those before it are executed. */
  private <T> Future<T> inTurn(Supplier<Future<T>> append) {
    try {
      return after(log.enqueueAppend(time.now()), append);
    } catch (StoreException e) {
      return Future.failedFuture(e);
    }
  }

  private <T> Future<T> after(long millis, Supplier<Future<T>> work) {
    return millis == 0
        ? work.get()
        : Future.future(p -> time.after(millis, () -> work.get().onComplete(p)));
  }

  private Future<Long> tryAppend(List<Entry> entries, Optional<FencedWriter> writer) {
    try {
      return Future.succeededFuture(log.append(entries, writer));
    } catch (StoreException e) {
      return Future.failedFuture(e);
    }
  }

  @Override
  public Future<Void> appendAt(long end, List<Entry> entries) {
    log.countAppend();
    List<Entry> copy = List.copyOf(entries);
    return link.call(
        () -> inTurn(() -> tryAppendAt(end, copy)), FakeTopic::noAnswer, CALL_TIMEOUT_MILLIS);
  }

  private Future<Void> tryAppendAt(long end, List<Entry> entries) {
    try {
      log.appendAt(end, entries);
      return Future.succeededFuture();
    } catch (StoreException e) {
      return Future.failedFuture(e);
    }
  }

  @Override
  public Future<Batch> read(long from, long waitMillis) {
    log.countRead();
    return link.call(
        () -> readOrWait(from, waitMillis), FakeTopic::noAnswer, waitMillis + CALL_TIMEOUT_MILLIS);
  }

  @Override
  public Future<Batch> readOnNewConnection(long from) {
    log.countRead();
    return link.callOnNewConnection(() -> readNow(from), FakeTopic::noAnswer, CALL_TIMEOUT_MILLIS);
  }

  private Future<Batch> readOrWait(long from, long waitMillis) {
    if (log.end() > from || waitMillis == 0) {
      return readNow(from);
    }
    Promise<Batch> promise = Promise.promise();
    Runnable answer =
        () -> {
          if (!promise.future().isComplete()) {
            readNow(from).onComplete(promise::tryComplete, promise::tryFail);
          }
        };
    log.onAppend(answer);
    time.after(waitMillis, answer);
    return promise.future();
  }

  private Future<Batch> readNow(long from) {
    if (log.isUnreadable()) {
      return FakeTopic.noAnswer();
    }
    try {
      List<Entry> entries = log.readFrom(from);
      return Future.succeededFuture(new Batch(entries, from + entries.size(), log.end()));
    } catch (StoreException e) {
      return Future.failedFuture(e);
    }
  }

  @Override
  public Future<Page> newest(Optional<String> after) {
    log.countRead();
    return link.call(
        () -> Future.succeededFuture(new Page(log.newest(), false, log.end())),
        FakeTopic::noAnswer,
        CALL_TIMEOUT_MILLIS);
  }

  private static <T> Future<T> noAnswer() {
    return Future.failedFuture(new StoreException(Kind.UNKNOWN, "no answer"));
  }
}
