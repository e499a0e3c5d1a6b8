package io.cactusspring.jobs.control;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.jobs.port.KeyedTopic;
import io.cactusspring.jobs.port.StoreException;
import io.cactusspring.jobs.port.Timers;
import io.cactusspring.jobs.simulation.TestLog;
import io.cactusspring.jobs.simulation.VirtualTime;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests writes to a store that is slow or whose responses are lost. */
final class StoreWritesTest {
  private static final long TIMEOUT_MILLIS = 1_000;
  private static final int REQUEST_BYTES = 10_000;

  private final VirtualTime time = new VirtualTime();
  private final Timers timers = time.timers();
  private final SlowTopic topic = new SlowTopic();

  /** Responds after a delay; the responses to some appends are lost. */
  private final class SlowTopic extends AppendOnlyTopic {
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
        time.after(TIMEOUT_MILLIS, () -> answer.fail(lost));
      } else {
        time.after(answerMillis, () -> answer.complete(0L));
      }
      return answer.future();
    }
  }

  private static KeyedTopic.Entry entry(int number) {
    return new KeyedTopic.Entry("job/" + number, new byte[] {1}, 0);
  }

  private LaneWriter lanes(int count) {
    return new LaneWriter(
        Collections.nCopies(count, topic),
        1,
        1,
        REQUEST_BYTES,
        timers,
        new TestLog().log(),
        () -> true);
  }

  /** Guards against a batch that the store refuses for ever because of its size. */
  @Test
  void batchThatOneAppendCannotHoldIsAppendedInParts() {
    LaneWriter lanes = lanes(3);
    List<KeyedTopic.Entry> batch =
        IntStream.range(0, 5)
            .mapToObj(i -> new KeyedTopic.Entry("job/" + i, new byte[REQUEST_BYTES / 2 - 20], 0))
            .toList();
    Future<Void> stored = lanes.write(0, batch);
    time.run(1_000);
    assertThat(stored.succeeded()).isTrue();
    assertThat(lanes.isIdle()).isTrue();
    assertThat(topic.appends).hasSize(3);
  }

  /** The store takes 180 ms for each append (Tema trouble-2). */
  @Test
  void furtherLanesTakeTheBatchesWhileTheStoreIsSlow() {
    topic.answerMillis = 180;
    LaneWriter lanes = lanes(3);
    assertThat(lanes.free()).hasValue(0);
    lanes.write(0, List.of(entry(0)));
    assertThat(lanes.free()).isEmpty();
    time.run(30);
    assertThat(lanes.free()).hasValue(1);
    lanes.write(1, List.of(entry(1)));
    time.run(200);
    assertThat(lanes.isIdle()).isTrue();
    assertThat(topic.appends).hasSize(2);
  }

  @Test
  void quickStoreIsUsedThroughOneLane() {
    LaneWriter lanes = lanes(3);
    for (int i = 0; i < 10; i++) {
      assertThat(lanes.free()).hasValue(0);
      lanes.write(0, List.of(entry(i)));
      assertThat(lanes.free()).isEmpty();
      time.run(10);
    }
  }

  /** The response to one append is lost. */
  @Test
  void lostResponseDelaysOnlyItsOwnBatch() {
    topic.lostAnswers = 1;
    LaneWriter lanes = lanes(2);
    Future<Void> lost = lanes.write(0, List.of(entry(0)));
    time.run(30);
    assertThat(lanes.free()).hasValue(1);
    Future<Void> other = lanes.write(1, List.of(entry(1)));
    time.run(20);
    assertThat(lost.isComplete()).isFalse();
    assertThat(other.succeeded()).isTrue();
    time.run(TIMEOUT_MILLIS);
    assertThat(lost.succeeded()).isTrue();
  }

  @Test
  void deletionsAreWrittenWithTheNextBatchOfTheirLane() {
    LaneWriter lanes = lanes(2);
    lanes.delete(0, entry(7), () -> {});
    lanes.delete(1, entry(8), () -> {});
    lanes.write(0, List.of(entry(0)));
    time.run(20);
    assertThat(topic.appends).containsExactly(2);
    lanes.flushDeletions();
    time.run(20);
    lanes.flushDeletions();
    assertThat(topic.appends).containsExactly(2, 1).inOrder();
  }

  /** The response to an append of the owner is lost. */
  @Test
  void appendOfTheOwnerIsRetriedBeforeItsTimeout() {
    topic.lostAnswers = 1;
    Future<Long> done = retryingAppend(true);
    time.run(300);
    assertThat(done.succeeded()).isTrue();
    assertThat(topic.appends).hasSize(2);
  }

  /** The store is slow; duplicates would slow it down further. */
  @Test
  void slowStoreReceivesNoDuplicatesOnceItsResponseTimeIsKnown() {
    topic.answerMillis = 400;
    ResponseTimes responseTimes = new ResponseTimes();
    for (int i = 0; i < 3; i++) {
      retryingAppend(responseTimes, true);
      time.run(1_000);
    }
    topic.appends.clear();
    retryingAppend(responseTimes, true);
    time.run(1_000);
    assertThat(topic.appends).hasSize(1);
  }

  @Test
  void appendIsAbandonedOnceItsConditionNoLongerHolds() {
    topic.lostAnswers = 9;
    Future<Long> done = retryingAppend(false);
    time.run(2 * TIMEOUT_MILLIS);
    assertThat(done.failed()).isTrue();
    assertThat(topic.appends).hasSize(1);
  }

  private Future<Long> retryingAppend(boolean keepRetrying) {
    return retryingAppend(new ResponseTimes(), keepRetrying);
  }

  private Future<Long> retryingAppend(ResponseTimes responseTimes, boolean keepRetrying) {
    return new RetryingAppend(
            topic, timers, responseTimes, List.of(entry(0)), new KeyedTopic.FencedWriter(1, 1))
        .run(() -> keepRetrying);
  }
}
