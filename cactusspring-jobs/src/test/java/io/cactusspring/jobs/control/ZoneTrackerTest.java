package io.cactusspring.jobs.control;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.jobs.log.JobLog;
import io.cactusspring.jobs.model.ZoneRecord;
import io.cactusspring.jobs.model.ZoneStates;
import io.cactusspring.jobs.port.KeyedTopic.Entry;
import io.cactusspring.jobs.port.Timers;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests which zones a host takes as evacuated, by the records that it has read. */
final class ZoneTrackerTest {
  private static final long AGE = 120;

  private final ByteArrayOutputStream lines = new ByteArrayOutputStream();
  private final JobLog log =
      new JobLog(
          "h", new PrintStream(lines, true, StandardCharsets.UTF_8), 100, (event, kind) -> {});
  private final List<ZoneStates> changes = new ArrayList<>();
  private final ZoneTracker tracker =
      new ZoneTracker(
          e -> Optional.of(new ZoneRecord(e.key(), e.value() != null)),
          new FixedTimers(),
          log,
          changes::add);

  private record FixedTimers() implements Timers {
    @Override
    public long nowMillis() {
      return 9_000;
    }

    @Override
    public long wallMillis() {
      return 9_000;
    }

    @Override
    public void after(long millis, Runnable task) {}
  }

  private void write(String zone, long offset) {
    tracker.apply(new Entry(zone, new byte[] {1}, offset), AGE);
  }

  private void delete(String zone, long offset) {
    tracker.apply(new Entry(zone, null, offset), AGE);
  }

  private long logged(String name) {
    log.flush();
    return lines.toString(StandardCharsets.UTF_8).lines().filter(l -> l.contains(name)).count();
  }

  @Test
  void recordEvacuatesItsZoneUntilItIsDeleted() {
    write("a", 3);
    assertThat(tracker.states().evacuated()).containsExactly("a");
    delete("a", 4);
    assertThat(tracker.states().evacuated()).isEmpty();
    assertThat(tracker.states().returnedAt()).containsExactly("a", 9_000L);
    assertThat(logged("\"offset\":3,\"maxAgeMillis\":120")).isEqualTo(1);
    assertThat(logged("\"ZONE_IN_USE\"")).isEqualTo(1);
  }

  /** Guards against an evacuation that is lost because the record is deleted and written again. */
  @Test
  void recordThatIsDeletedAndWrittenAgainEvacuatesItsZone() {
    write("a", 3);
    delete("a", 4);
    write("a", 5);
    assertThat(tracker.states().evacuated()).containsExactly("a");
    assertThat(changes).hasSize(3);
  }

  /** A record may be delivered more than once; the log must not grow with that. */
  @Test
  void repeatedRecordChangesNothing() {
    write("a", 3);
    write("a", 3);
    delete("b", 4);
    assertThat(changes).hasSize(1);
    assertThat(logged("\"ZONE_EVACUATED\"")).isEqualTo(1);
  }

  /** A topic that was compacted is loaded again, and its deletions are gone. */
  @Test
  void zoneWhoseRecordIsGoneAfterALoadIsInUse() {
    write("a", 3);
    write("b", 7);
    tracker.loaded(Set.of("config"), 7, AGE);
    // The record of zone b was written after the load and is read again.
    assertThat(tracker.states().evacuated()).containsExactly("b");
    tracker.loaded(Set.of("b"), 9, AGE);
    assertThat(tracker.states().evacuated()).containsExactly("b");
  }
}
