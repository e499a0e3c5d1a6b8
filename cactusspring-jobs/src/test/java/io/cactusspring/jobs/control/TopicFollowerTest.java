package io.cactusspring.jobs.control;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.jobs.port.KeyedTopic;
import io.cactusspring.jobs.port.KeyedTopic.Entry;
import io.cactusspring.jobs.simulation.TestLog;
import io.cactusspring.jobs.simulation.VirtualTime;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class TopicFollowerTest {
  /** A topic of two pages to which records of both keys are appended between the pages. */
  private static final class GrowingTopic implements KeyedTopic {
    @Override
    public Future<Long> append(List<Entry> entries, Optional<FencedWriter> writer) {
      return Future.failedFuture("not used");
    }

    @Override
    public Future<Void> appendAt(long end, List<Entry> entries) {
      return Future.failedFuture("not used");
    }

    @Override
    public Future<Page> newest(Optional<String> after) {
      return Future.succeededFuture(
          after.isEmpty()
              ? new Page(List.of(entry("a", 8)), true, 10)
              : new Page(List.of(entry("b", 11)), false, 13));
    }

    @Override
    public Future<Batch> readOnNewConnection(long from) {
      return read(from, 0);
    }

    @Override
    public Future<Batch> read(long from, long waitMillis) {
      return Future.succeededFuture(
          from == 10
              ? new Batch(List.of(entry("b", 10)), 11, 13)
              : new Batch(List.of(entry("b", 11), entry("a", 12)), 13, 13));
    }
  }

  private static Entry entry(String key, long offset) {
    return new Entry(key, new byte[] {1}, offset);
  }

  /** Guards against an older record, such as a capacity, that is applied after a newer one. */
  @Test
  void recordThatIsOlderThanTheLoadedOneOfItsKeyIsNotApplied() {
    List<String> applied = new ArrayList<>();
    TopicSink sink =
        new TopicSink() {
          @Override
          public void apply(Entry entry) {
            applied.add(entry.key() + entry.offset());
          }

          @Override
          public void loaded(Set<String> keys) {}
        };
    follow(sink);
    assertThat(applied).containsExactly("a8", "b11", "a12").inOrder();
  }

  /**
   * Guards against a record that cannot be applied keeping the records after it from being read.
   */
  @Test
  void recordThatCannotBeAppliedIsLoggedAndThoseAfterItAreRead() {
    List<String> applied = new ArrayList<>();
    TopicSink sink =
        new TopicSink() {
          @Override
          public void apply(Entry entry) {
            if (entry.key().equals("a")) {
              throw new IllegalStateException("odd record");
            }
            applied.add(entry.key() + entry.offset());
          }

          @Override
          public void loaded(Set<String> keys) {}
        };
    List<String> logged = follow(sink);
    assertThat(applied).containsExactly("b11");
    assertThat(logged.stream().filter(l -> l.contains("RECORD_UNREADABLE")).count()).isEqualTo(2);
    assertThat(logged.get(0)).contains("odd record");
  }

  /** Follows the growing topic for a second and returns the lines that were logged. */
  private static List<String> follow(TopicSink sink) {
    VirtualTime time = new VirtualTime();
    TestLog log = new TestLog();
    new TopicFollower("topic", new GrowingTopic(), sink, time.timers(), log.log(), 10, () -> 500)
        .start();
    time.run(1_000);
    return log.lines();
  }
}
