package io.cactusspring.jobs.control;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.ledger.JobEntry;
import io.cactusspring.jobs.ledger.JobProgress;
import io.cactusspring.jobs.ledger.LedgerCodec;
import io.cactusspring.jobs.ledger.LedgerSnapshot;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.JobState;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.port.KeyedTopic;
import io.cactusspring.jobs.port.StoreException;
import io.cactusspring.jobs.simulation.ClusterSimulation;
import io.cactusspring.jobs.simulation.FakeLog;
import io.cactusspring.jobs.simulation.TestLog;
import io.cactusspring.jobs.simulation.VirtualTime;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests which records of an ended job are deleted from the lanes, whichever lanes hold them and
 * whenever the owner looks for records to delete.
 */
final class EndedJobRecordsTest {
  private static final int LANES = 3;
  private static final long TERM = 1;
  private static final int REQUEST_BYTES = 10_000;
  private static final long SWEEP_MILLIS = 5_000;
  private static final long RETENTION_MILLIS = 180_000;
  private static final String JOB = "j";

  /** A lane that takes a time to store an append, and the same time to answer. */
  private static final class SlowLane extends AppendOnlyTopic {
    private final FakeLog log = new FakeLog();
    private final VirtualTime time;
    private final long answerMillis;
    private boolean stuck;

    SlowLane(VirtualTime time, long answerMillis) {
      this.time = time;
      this.answerMillis = answerMillis;
    }

    @Override
    public Future<Long> append(List<Entry> entries, Optional<FencedWriter> writer) {
      Promise<Long> answer = Promise.promise();
      if (!stuck) {
        time.after(
            answerMillis / 2,
            () -> {
              long offset = appendNow(entries, writer);
              time.after(answerMillis / 2, () -> answer.complete(offset));
            });
      }
      return answer.future();
    }

    private long appendNow(List<Entry> entries, Optional<FencedWriter> writer) {
      try {
        return log.append(entries, writer);
      } catch (StoreException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  /** An owner of one job, which ends while a run of it goes on. */
  private static final class Owner {
    private final VirtualTime time = new VirtualTime();
    private final List<SlowLane> topics;
    private final LaneWriter lanes;
    private final OwnedJobs jobs;
    private final Set<Integer> busy = new HashSet<>();
    private boolean mayChange = true;

    Owner(long answerMillis) {
      topics = Stream.generate(() -> new SlowLane(time, answerMillis)).limit(LANES).toList();
      TestLog log = new TestLog();
      List<KeyedTopic> ports = List.copyOf(topics);
      lanes = new LaneWriter(ports, TERM, 1, REQUEST_BYTES, time.timers(), log.log(), () -> true);
      jobs = new OwnedJobs(lanes, new InboxWriter(List.of(new SlowLane(time, 4)), log.log()));
    }

    /** Stores the submission in the first lane. */
    void submit() {
      jobs.add(spec());
      jobs.takeUnsent(1);
      lanes
          .write(0, List.of(LedgerCodec.job(spec())))
          .onSuccess(s -> jobs.submissionStored(JOB, 0));
      run(2_000);
    }

    /** Writes a record once the lane is idle. */
    void write(int lane, long version, JobState state) {
      if (!busy.add(lane)) {
        time.after(1, () -> write(lane, version, state));
        return;
      }
      JobProgress progress =
          new JobProgress(TERM, version, state, true, List.of(), "quick", "team");
      lanes
          .write(lane, List.of(LedgerCodec.progress(JOB, progress)))
          .onSuccess(
              stored -> {
                busy.remove(lane);
                jobs.progressStored(JOB, progress, lane, time.now());
              });
    }

    void sweep() {
      // The lanes that are idle write the deletions at once.
      jobs.sweep(id -> mayChange, time.now());
    }

    void sweepPeriodically() {
      sweep();
      time.after(SWEEP_MILLIS, this::sweepPeriodically);
    }

    void run(long millis) {
      time.run(millis);
    }

    /** Returns the job as an owner that takes over now reads it. */
    Optional<JobEntry> stored() {
      LedgerSnapshot snapshot = new LedgerSnapshot();
      for (int i = 0; i < LANES; i++) {
        int lane = i;
        topics.get(i).log.newest().forEach(e -> snapshot.applyLane(lane, e));
      }
      return snapshot.job(JOB);
    }

    long records() {
      return topics.stream().mapToLong(t -> t.log.newest().size()).sum();
    }
  }

  private static JobSpec spec() {
    StepSpec step = StepSpec.builder().tasks(1).resources(new Resources(1, 1, 0)).build();
    return new JobSpec(
        JOB, ClusterSimulation.queue("quick", 0, null), "team", "p", List.of(step), 0, 0, 0, 0);
  }

  private static List<List<Integer>> lanesOfThreeRecords() {
    List<List<Integer>> all = new ArrayList<>();
    for (int i = 0; i < LANES * LANES * LANES; i++) {
      all.add(List.of(i / (LANES * LANES), i / LANES % LANES, i % LANES));
    }
    return all;
  }

  /**
   * Guards against the deletion of a job's newest record by the tombstone for an older one, after
   * which the job was unknown to the next owner.
   */
  @ParameterizedTest
  @ValueSource(longs = {4, 20, 60, 120, 240, 600})
  void endedJobStaysStoredWhicheverLanesHoldItsRecords(long answerMillis) {
    for (List<Integer> order : lanesOfThreeRecords()) {
      for (long pause : new long[] {1, answerMillis / 2, answerMillis + 10}) {
        for (long sweepAfter = 0; sweepAfter <= 3 * answerMillis; sweepAfter += answerMillis / 4) {
          assertStaysStored(answerMillis, order, pause, sweepAfter);
        }
      }
    }
  }

  private static void assertStaysStored(
      long answerMillis, List<Integer> lanes, long pause, long sweepAfter) {
    Owner owner = new Owner(answerMillis);
    owner.submit();
    owner.write(lanes.get(0), 1, JobState.RUNNING);
    owner.run(2_000);
    owner.time.after(sweepAfter, owner::sweepPeriodically);
    owner.write(lanes.get(1), 2, JobState.FAILED);
    owner.time.after(
        pause,
        () -> {
          owner.mayChange = false;
          owner.write(lanes.get(2), 3, JobState.FAILED);
        });
    owner.run(answerMillis / 2);
    for (int i = 0; i < 40; i++) {
      owner.run(i < 20 ? Math.max(1, answerMillis / 4) : 1_000);
      assertWithMessage(
              "answers after %s ms, lanes %s, pause %s ms, sweep after %s ms",
              answerMillis, lanes, pause, sweepAfter)
          .that(owner.stored().map(JobEntry::state))
          .hasValue(JobState.FAILED);
    }
    assertThat(owner.records()).isEqualTo(1);
  }

  @Test
  void endedJobIsForgottenAfterItsRetention() {
    Owner owner = new Owner(4);
    owner.submit();
    owner.write(0, 1, JobState.COMPLETED);
    owner.mayChange = false;
    owner.sweepPeriodically();
    owner.run(RETENTION_MILLIS - 10_000);
    assertThat(owner.jobs.contains(JOB)).isTrue();
    owner.run(20_000);
    assertThat(owner.jobs.contains(JOB)).isFalse();
    assertThat(owner.records()).isEqualTo(0);
  }

  /**
   * Guards against a job that runs once more because its end is deleted before its submission: the
   * lane with the submission does not answer any more.
   */
  @Test
  void endedJobIsKeptUntilTheDeletionOfItsSubmissionIsStored() {
    Owner owner = new Owner(4);
    owner.submit();
    owner.write(1, 1, JobState.COMPLETED);
    owner.run(100);
    owner.topics.get(0).stuck = true;
    owner.mayChange = false;
    owner.sweepPeriodically();
    owner.run(RETENTION_MILLIS + 20_000);
    assertThat(owner.stored().map(JobEntry::state)).hasValue(JobState.COMPLETED);
  }

  /** Guards against a record that is stored for a job of which the owner knows nothing any more. */
  @Test
  void jobWithARecordInFlightIsNotForgotten() {
    Owner owner = new Owner(4);
    owner.submit();
    owner.write(0, 1, JobState.FAILED);
    owner.run(100);
    owner.topics.get(1).stuck = true;
    owner.write(1, 2, JobState.FAILED);
    owner.mayChange = false;
    owner.sweepPeriodically();
    owner.run(RETENTION_MILLIS + 20_000);
    assertThat(owner.jobs.contains(JOB)).isTrue();
    assertThat(owner.stored().map(JobEntry::state)).hasValue(JobState.FAILED);
  }

  /** Guards against a tombstone that is appended behind a newer record of its key. */
  @Test
  void deletionOfAKeyThatIsInFlightHasNoEffect() {
    Owner owner = new Owner(240);
    KeyedTopic.Entry record = LedgerCodec.job(spec());
    owner.lanes.write(0, List.of(record));
    owner.lanes.delete(0, LedgerCodec.jobTombstone(JOB), () -> {});
    owner.run(1_000);
    owner.lanes.flushDeletions();
    owner.run(1_000);
    assertThat(owner.stored()).isPresent();
  }

  /** As above, for a record in the second part of a batch that one append cannot hold. */
  @Test
  void deletionOfAKeyInALaterPartOfABatchHasNoEffect() {
    Owner owner = new Owner(240);
    KeyedTopic.Entry large = new KeyedTopic.Entry("job/large", new byte[REQUEST_BYTES - 50], 0);
    owner.lanes.write(0, List.of(large, LedgerCodec.job(spec())));
    owner.run(300);
    assertThat(owner.topics.get(0).log.newest()).hasSize(1);
    owner.lanes.delete(0, LedgerCodec.jobTombstone(JOB), () -> {});
    owner.run(1_000);
    owner.lanes.flushDeletions();
    owner.run(1_000);
    assertThat(owner.stored()).isPresent();
  }

  @Test
  void deletionPrecedesALaterRecordOfItsKey() {
    Owner owner = new Owner(240);
    List<Integer> deleted = new ArrayList<>();
    IntStream.range(0, LANES)
        .forEach(i -> owner.lanes.delete(i, LedgerCodec.jobTombstone(JOB), () -> deleted.add(i)));
    owner.lanes.write(1, List.of(LedgerCodec.job(spec())));
    owner.lanes.flushDeletions();
    owner.run(1_000);
    assertThat(deleted).containsExactly(0, 1, 2);
    assertThat(owner.stored()).isPresent();
  }
}
