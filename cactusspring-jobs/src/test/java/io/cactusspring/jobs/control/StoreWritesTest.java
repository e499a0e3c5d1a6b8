package io.cactusspring.jobs.control;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.jobs.port.KeyedTopic;
import io.cactusspring.jobs.port.StoreException;
import io.cactusspring.jobs.port.Timers;
import io.cactusspring.jobs.simulation.VirtualTime;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** How records get into a store that is slow or loses answers. */
final class StoreWritesTest {
  private static final long TIME_OUT_MILLIS = 1_000;

  private final VirtualTime time = new VirtualTime();
  private final Timers timers = time.timers();
  private final SlowTopic topic = new SlowTopic();

  /** Answers after a while; the answers to some appends are lost. */
  private final class SlowTopic implements KeyedTopic {
    private final List<Integer> appends = new ArrayList<>();
    private long answerMillis = 8;
    private int lostAnswers;

    @Override
    public Future<Long> append(List<Entry> entries, Optional<FencedWriter> writer) {
      appends.add(entries.size());
      Promise<Long> answer = Promise.promise();
      if (lostAnswers > 0) {
        lostAnswers--;
        StoreException lost = new StoreException(StoreException.Kind.UNKNOWN, "no answer");
        time.after(TIME_OUT_MILLIS, () -> answer.fail(lost));
      } else {
        time.after(answerMillis, () -> answer.complete(0L));
      }
      return answer.future();
    }

    @Override
    public Future<Batch> read(long from, long waitMillis) {
      throw new UnsupportedOperationException();
    }

    @Override
    public Future<Page> newest(Optional<String> after) {
      throw new UnsupportedOperationException();
    }
  }

  private static KeyedTopic.Entry entry(int number) {
    return new KeyedTopic.Entry("job/" + number, new byte[] {1}, 0);
  }

  /** Pattern: many users come while the store takes 180 ms for each append. */
  @Test
  void recordsThatComeDuringAnAppendGoTogetherInTheNext() {
    topic.answerMillis = 180;
    BatchingWriter writer = new BatchingWriter(topic, timers);
    List<Future<Void>> stored =
        IntStream.range(0, 20).mapToObj(i -> writer.append(entry(i))).toList();
    time.run(400);
    assertThat(topic.appends).containsExactly(1, 19).inOrder();
    assertThat(stored.stream().allMatch(Future::succeeded)).isTrue();
  }

  /** Pattern: the store loses answers. */
  @Test
  void lostAnswerHoldsUpOnlyItsOwnRecords() {
    topic.lostAnswers = 1;
    BatchingWriter writer = new BatchingWriter(topic, timers);
    Future<Void> lost = writer.append(entry(0));
    Future<Void> other = writer.append(entry(1));
    time.run(300);
    assertThat(lost.isComplete()).isFalse();
    assertThat(other.succeeded()).isTrue();
    time.run(TIME_OUT_MILLIS);
    assertThat(lost.failed()).isTrue();
  }

  /** Pattern: the store loses answers, the owner's among them. */
  @Test
  void ownersAppendIsSentAgainBeforeItsTimeOut() {
    topic.lostAnswers = 1;
    Future<Long> done = repeated(true);
    time.run(300);
    assertThat(done.succeeded()).isTrue();
    assertThat(topic.appends).hasSize(2);
  }

  /** Pattern: the store is slow; copies would make it slower. */
  @Test
  void slowStoreGetsNoCopiesOnceItsPaceIsKnown() {
    topic.answerMillis = 400;
    AnswerTimes answers = new AnswerTimes();
    for (int i = 0; i < 3; i++) {
      repeated(answers, true);
      time.run(1_000);
    }
    topic.appends.clear();
    repeated(answers, true);
    time.run(1_000);
    assertThat(topic.appends).hasSize(1);
  }

  @Test
  void appendThatIsNoLongerWantedIsGivenUp() {
    topic.lostAnswers = 9;
    Future<Long> done = repeated(false);
    time.run(2 * TIME_OUT_MILLIS);
    assertThat(done.failed()).isTrue();
    assertThat(topic.appends).hasSize(1);
  }

  private Future<Long> repeated(boolean wanted) {
    return repeated(new AnswerTimes(), wanted);
  }

  private Future<Long> repeated(AnswerTimes answers, boolean wanted) {
    return new RepeatedAppend(
            topic, timers, answers, List.of(entry(0)), new KeyedTopic.FencedWriter(1, 1))
        .run(() -> wanted);
  }
}
