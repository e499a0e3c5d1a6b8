package io.cactusspring.jobs.control;

import io.cactusspring.jobs.port.KeyedTopic;
import io.cactusspring.jobs.port.KeyedTopic.Entry;
import io.cactusspring.jobs.port.KeyedTopic.FencedWriter;
import io.cactusspring.jobs.port.StoreException;
import io.cactusspring.jobs.port.Timers;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * An append of the owner, which is retried until it is stored.
 *
 * <p>The store applies a sequence number only once. A duplicate can therefore be sent while the
 * response to the first request is still outstanding, so that a lost response costs only a fraction
 * of the timeout. At most two requests are in flight, because a slow store executes appends one
 * after the other.
 */
final class RetryingAppend {
  private static final long RETRY_MILLIS = 100;

  private final KeyedTopic topic;
  private final Timers timers;
  private final ResponseTimes responseTimes;
  private final List<Entry> entries;
  private final FencedWriter writer;
  private final Promise<Long> result = Promise.promise();
  private BooleanSupplier retryWhile;
  private int inFlight;

  RetryingAppend(
      KeyedTopic topic,
      Timers timers,
      ResponseTimes responseTimes,
      List<Entry> entries,
      FencedWriter writer) {
    this.topic = topic;
    this.timers = timers;
    this.responseTimes = responseTimes;
    this.entries = entries;
    this.writer = writer;
  }

  /**
   * Starts the append.
   *
   * @param condition whether to continue sending requests
   * @return when the request that was answered first was sent, in milliseconds of {@link
   *     Timers#nowMillis}; fails if the writer is superseded or the condition no longer holds
   */
  Future<Long> run(BooleanSupplier condition) {
    retryWhile = condition;
    send();
    return result.future();
  }

  private void send() {
    long sentAt = timers.nowMillis();
    inFlight++;
    topic
        .append(entries, Optional.of(writer))
        .onComplete(
            offset -> {
              inFlight--;
              responseTimes.add(timers.nowMillis() - sentAt);
              result.tryComplete(sentAt);
            },
            problem -> {
              inFlight--;
              failed(problem);
            });
    timers.after(responseTimes.overdueMillis(), this::sendDuplicate);
  }

  private void sendDuplicate() {
    if (!result.future().isComplete() && inFlight == 1 && retryWhile.getAsBoolean()) {
      send();
    }
  }

  private void failed(Throwable problem) {
    if (result.future().isComplete()) {
      return;
    }
    boolean superseded = StoreException.kindOf(problem) == StoreException.Kind.SUPERSEDED;
    if (superseded || !retryWhile.getAsBoolean()) {
      result.tryFail(problem);
    } else if (inFlight == 0) {
      timers.after(RETRY_MILLIS, this::retryAfterFailure);
    }
  }

  private void retryAfterFailure() {
    if (result.future().isComplete() || inFlight > 0) {
      return;
    }
    if (retryWhile.getAsBoolean()) {
      send();
    } else {
      result.tryFail(
          new StoreException(
              StoreException.Kind.UNKNOWN,
              "the append was abandoned before the store confirmed it"));
    }
  }
}
