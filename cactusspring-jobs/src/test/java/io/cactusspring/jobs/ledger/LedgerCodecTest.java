package io.cactusspring.jobs.ledger;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.AdviceSettings;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.JobState;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.port.KeyedTopic.Entry;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class LedgerCodecTest {
  private static final AdviceSettings ADVICE = new AdviceSettings(21.5, 0.22, 2_500);
  private static final Queue QUEUE =
      new Queue("queue", "host", "/queue/", "svc", 2, 4, 2.2, 1_200, ADVICE, true);

  private static JobSpec job(Queue queue, StepSpec... steps) {
    return new JobSpec("id", queue, "team", "päyload \"{}", List.of(steps), 5, 6, 7, 8);
  }

  private static StepSpec stepWithAllFields() {
    return StepSpec.builder()
        .tasks(3)
        .resources(new Resources(1_500, 256, 2))
        .estimateMillis(900)
        .after(List.of(0))
        .checkpoints(true)
        .gang(true)
        .sameRack(true)
        .requiredLabel("fast")
        .dataRack("r1")
        .maxPerExecutor(2)
        .speculative(true)
        .longRunning(true)
        .image("im")
        .targetMillis(30)
        .fills(true)
        .maxUnavailable(1)
        .build();
  }

  @Test
  void decodedSubmissionEqualsEncodedOne() {
    JobSpec spec = job(QUEUE, StepSpec.builder().build(), stepWithAllFields());
    assertThat(LedgerCodec.readJob(LedgerCodec.job(spec))).hasValue(spec);
  }

  @Test
  void queueWithoutAdviceIsDecodedWithoutAdvice() {
    Queue queueWithoutAdvice =
        new Queue("queue", "host", "/q/", "svc", 0, 1, 1.5, 250, null, false);
    JobSpec spec = job(queueWithoutAdvice, StepSpec.builder().build());
    assertThat(LedgerCodec.readJob(LedgerCodec.job(spec))).hasValue(spec);
  }

  @Test
  void decodedProgressEqualsEncodedOne() {
    TaskProgress running = new TaskProgress(false, 2, 1, "x1", 77, "0000ff");
    TaskProgress notStarted = new TaskProgress(false, 0, 0, "", 0, "");
    JobProgress progress =
        new JobProgress(
            9,
            12,
            JobState.RUNNING,
            true,
            List.of(
                new StepProgress(0, 0, true, List.of()),
                new StepProgress(3, 1, false, List.of(running, notStarted))),
            "queue",
            "team");
    assertThat(read(progress)).hasValue(progress);
  }

  private static Optional<JobProgress> read(JobProgress progress) {
    return LedgerCodec.readProgress(LedgerCodec.progress("id", progress)).map(p -> p.decode("id"));
  }

  @Test
  void decodedStateEqualsEncodedOneForEveryState() {
    for (JobState state : JobState.values()) {
      JobProgress progress = new JobProgress(1, 2, state, false, List.of(), "", "");
      assertThat(read(progress)).hasValue(progress);
    }
  }

  @Test
  void decodedOwnerEqualsEncodedOne() {
    OwnerRecord owner = new OwnerRecord(4_097, "host", "boot", "host:70", 3, true);
    assertThat(LedgerCodec.ownerOf(LedgerCodec.owner(owner))).hasValue(owner);
    assertThat(LedgerCodec.ownerOf(LedgerCodec.cancel("id"))).isEmpty();
  }

  @Test
  void decodedLeaseBoundsEqualEncodedOnes() {
    OwnerRecord owner = new OwnerRecord(4_097, "host", "boot", "host:70", 3, false);
    for (LeaseBounds bounds :
        List.of(
            new LeaseBounds(false, 0, Map.of()),
            new LeaseBounds(true, 11_122, Map.of("x1", 0L, "x2", 6_122L)),
            new LeaseBounds(true, 0, Map.of("x1", 0L), Map.of("x1", 10_204L, "x3", 7_000L)))) {
      OwnerRecord written = owner.withLeases(bounds);
      assertThat(LedgerCodec.ownerOf(LedgerCodec.owner(written))).hasValue(written);
    }
  }

  /** During a rolling update, a host of an earlier version knows the fields up to the heartbeat. */
  @Test
  void leaseBoundsFollowTheFieldsOfEarlierVersions() {
    OwnerRecord owner = new OwnerRecord(5, "h", "b", "a", 1, false);
    byte[] before = LedgerCodec.owner(owner).value();
    byte[] written =
        LedgerCodec.owner(owner.withLeases(new LeaseBounds(true, 3, Map.of("x", 1L)))).value();
    byte[] longer =
        LedgerCodec.owner(
                owner.withLeases(new LeaseBounds(true, 3, Map.of("x", 1L), Map.of("y", 2L))))
            .value();
    String fields = HexFormat.of().formatHex(before, 0, before.length - 1);
    String bounds = fields + "11" + "1606" + "1b0186" + "0178" + "02";
    assertThat(HexFormat.of().formatHex(written)).isEqualTo(bounds + "00");
    assertThat(HexFormat.of().formatHex(longer))
        .isEqualTo(bounds + "1b0186" + "0179" + "04" + "00");
  }

  @Test
  void recordsOfOtherKindsAreNotTakenForSubmissionsOrCancellations() {
    Entry submission = LedgerCodec.job(job(QUEUE, StepSpec.builder().build()));
    Entry cancellation = LedgerCodec.cancel("id");
    assertThat(LedgerCodec.submission(submission).map(JobSpec::id)).hasValue("id");
    assertThat(LedgerCodec.submission(cancellation)).isEmpty();
    assertThat(LedgerCodec.submission(LedgerCodec.jobTombstone("id"))).isEmpty();
    assertThat(LedgerCodec.cancelledJob(cancellation)).hasValue("id");
    assertThat(LedgerCodec.cancelledJob(submission)).isEmpty();
    assertThat(LedgerCodec.cancelledJob(LedgerCodec.cancelTombstone("id"))).isEmpty();
  }

  /** During a rolling update, hosts of two versions read each other's records. */
  @Test
  void encodingIsStable() {
    Entry owner = LedgerCodec.owner(new OwnerRecord(5, "h", "b", "a", 1, false));
    assertThat(HexFormat.of().formatHex(owner.value()))
        .isEqualTo("160a180168180162" + "12" + "180161" + "1602" + "00");
    JobProgress progress = new JobProgress(5, 3, JobState.COMPLETED, true, List.of(), "", "");
    assertThat(HexFormat.of().formatHex(LedgerCodec.progress("id", progress).value()))
        .isEqualTo("160a1506112606" + "00");
  }

  private static JobProgress progressOfAStep(int failedRun, int crashedRun) {
    List<TaskProgress> tasks =
        List.of(new TaskProgress(false, 1, 1, "", 0, ""), new TaskProgress(false, 1, 0, "", 0, ""));
    StepProgress step = new StepProgress(0, 0, false, tasks, failedRun, crashedRun);
    return new JobProgress(5, 3, JobState.RUNNING, true, List.of(step), "", "");
  }

  private static String hexOf(JobProgress progress) {
    return HexFormat.of().formatHex(LedgerCodec.progress("id", progress).value());
  }

  /** Guards against records of jobs without gangs that become longer than before. */
  @Test
  void progressWithoutAFailedRunOfAGangIsEncodedAsByEarlierVersions() {
    String step = "49" + "2c" + "2502" + "1502" + "00" + "2502" + "00" + "00";
    assertThat(hexOf(progressOfAStep(0, 0)))
        .isEqualTo("160a" + "1504" + "11" + "180e" + "191c" + step + "00" + "1606" + "00");
  }

  @Test
  void failedRunOfAGangFollowsTheFieldsOfEarlierVersions() {
    String step = "49" + "2c" + "2502" + "1502" + "00" + "2502" + "00" + "1502" + "00";
    assertThat(hexOf(progressOfAStep(1, 0)))
        .isEqualTo("160a" + "1504" + "11" + "1810" + "191c" + step + "00" + "1606" + "00");
  }

  @Test
  void decodedRunsThatWereCountedEqualEncodedOnes() {
    for (int run : List.of(0, 1, 70, 100_000)) {
      assertThat(read(progressOfAStep(run, 0))).hasValue(progressOfAStep(run, 0));
      assertThat(read(progressOfAStep(3, run))).hasValue(progressOfAStep(3, run));
    }
  }

  @Test
  void recordThatCannotBeDecodedIsIgnored() {
    byte[] complete =
        LedgerCodec.job(job(QUEUE, StepSpec.builder().build(), stepWithAllFields())).value();
    Entry truncated = new Entry("job/id", Arrays.copyOf(complete, complete.length / 2), 0);
    Entry foreign = new Entry("job/id", "{\"id\":1}".getBytes(StandardCharsets.UTF_8), 0);
    Entry empty = new Entry("job/id", new byte[0], 0);
    for (Entry entry : List.of(truncated, foreign, empty)) {
      Optional<JobSpec> read = LedgerCodec.readJob(entry);
      assertThat(read).isEmpty();
    }
  }
}
