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
 * One append of the owner, sent again until it is stored.
 *
 * <p>The store does a sequence number only once, so a copy can be sent while the answer to an
 * earlier one may still come: a lost answer costs a fraction of its time-out. There are never more
 * than two under way, because a slow store does one append after the other.
 */
final class RepeatedAppend {
  private static final long RETRY_MILLIS = 100;

  private final KeyedTopic topic;
  private final Timers timers;
  private final AnswerTimes answers;
  private final List<Entry> entries;
  private final FencedWriter writer;
  private final Promise<Long> done = Promise.promise();
  private BooleanSupplier wanted;
  private int underWay;

  RepeatedAppend(
      KeyedTopic topic,
      Timers timers,
      AnswerTimes answers,
      List<Entry> entries,
      FencedWriter writer) {
    this.topic = topic;
    this.timers = timers;
    this.answers = answers;
    this.entries = entries;
    this.writer = writer;
  }

  /**
   * Starts.
   *
   * @param stillWanted whether to send further copies
   * @return when the copy was sent that was answered first; fails if the writer is superseded or
   *     the append is no longer wanted
   */
  Future<Long> run(BooleanSupplier stillWanted) {
    wanted = stillWanted;
    send();
    return done.future();
  }

  private void send() {
    long sentAt = timers.nowMillis();
    underWay++;
    topic
        .append(entries, Optional.of(writer))
        .onComplete(
            offset -> {
              underWay--;
              answers.answered(timers.nowMillis() - sentAt);
              done.tryComplete(sentAt);
            },
            problem -> {
              underWay--;
              failed(problem);
            });
    timers.after(answers.overdueMillis(), this::sendCopy);
  }

  private void sendCopy() {
    if (!done.future().isComplete() && underWay == 1 && wanted.getAsBoolean()) {
      send();
    }
  }

  private void failed(Throwable problem) {
    if (done.future().isComplete()) {
      return;
    }
    boolean superseded = StoreException.kindOf(problem) == StoreException.Kind.SUPERSEDED;
    if (superseded || !wanted.getAsBoolean()) {
      done.tryFail(problem);
    } else if (underWay == 0) {
      timers.after(RETRY_MILLIS, this::sendAgain);
    }
  }

  private void sendAgain() {
    if (done.future().isComplete() || underWay > 0) {
      return;
    }
    if (wanted.getAsBoolean()) {
      send();
    } else {
      done.tryFail(new StoreException(StoreException.Kind.UNKNOWN, "no longer wanted"));
    }
  }
}
