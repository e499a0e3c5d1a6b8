package io.cactusspring.jobs.control;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.ledger.JobProgress;
import io.cactusspring.jobs.ledger.LedgerCodec;
import io.cactusspring.jobs.ledger.StepProgress;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.JobState;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.port.KeyedTopic;
import io.cactusspring.jobs.port.StoreException;
import io.cactusspring.jobs.port.StoreLimits;
import io.cactusspring.jobs.schedule.SchedulerSettings;
import io.cactusspring.jobs.simulation.ClusterSimulation;
import io.cactusspring.jobs.simulation.FakeExecutor;
import io.cactusspring.jobs.simulation.FakeLog;
import io.vertx.core.Future;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against one odd job or record that stops all work: whatever it is, an owner stays, and
 * other work is done.
 */
final class OddRecordTest extends ThreeHostsFixture {
  /** Guards against one job ending every owner's term because its amounts can't be added up. */
  @Test
  void gangBeyondTheLargestAmountDoesNotStopOtherWork() {
    submit(job("huge", quick(), hugeGang()));
    assertOtherWorkIsDone();
  }

  /** Guards against the same by way of the inbox, where no admission looks at the job. */
  @Test
  void gangBeyondTheLargestAmountInTheInboxDoesNotStopOtherWork() {
    ClusterSimulation.Host cutOff =
        simulation.hosts().stream().filter(h -> !h.isOwner()).findFirst().orElseThrow();
    cutOff.cutFromPeers(true);
    var answer = simulation.submit(cutOff, job("huge", quick(), hugeGang()));
    simulation.time().run(3_000);
    assertThat(answer.result()).isInstanceOf(Outcome.Accepted.class);
    cutOff.cutFromPeers(false);
    assertOtherWorkIsDone();
    owner().kill();
    simulation.time().run(2_000);
    assertOtherWorkIsDone();
  }

  /** Guards against a job whose progress record outgrows the store's limit, which stops all. */
  @Test
  void jobOfThousandsOfTasksRunsWithoutStoppingOtherWork() {
    simulation.addExecutor("wide-" + "x".repeat(40), new Resources(1L << 30, 1L << 30, 0));
    simulation.time().run(1_000);
    JobSpec spec = job("wide", quick(), tasks(7_500).build());
    submit(spec);
    assertOtherWorkIsDone();
    owner().kill();
    simulation.time().run(20_000);
    assertThat(simulation.oracle().isDone(spec)).isTrue();
    assertThat(simulation.oracle().startCount()).isEqualTo(7_502);
    assertThat(simulation.oracle().violations()).isEmpty();
    assertOtherWorkIsDone();
  }

  /** Guards against a submission that the store refuses, so that nothing is stored after it. */
  @Test
  void submissionThatTheStoreCannotHoldIsRejectedAtOnce() {
    JobSpec large = withPayload("large", StoreLimits.DEFAULT.recordBytes() - 10);
    var answer = simulation.submit(simulation.hosts().get(0), large);
    assertThat(answer.result()).isInstanceOf(Outcome.TooLarge.class);
    assertOtherWorkIsDone();
  }

  /** Guards against submissions that are small enough each, but not as one append. */
  @Test
  void largeSubmissionsAtOnceAreAllStored() {
    List<Future<Outcome>> answers =
        IntStream.range(0, 30)
            .mapToObj(i -> simulation.submit(owner(), withPayload("large" + i, 200_000)))
            .toList();
    simulation.time().run(3_000);
    answers.forEach(a -> assertThat(a.result()).isInstanceOf(Outcome.Accepted.class));
    assertOtherWorkIsDone();
  }

  private static JobSpec withPayload(String id, int bytes) {
    List<StepSpec> steps = List.of(tasks(1).build());
    return new JobSpec(id, quick(), "team", "x".repeat(bytes), steps, 0, 0, 0, 0);
  }

  /** Guards against a schedule of which all occurrences are due at once exhausting the memory. */
  @Test
  void occurrencesThatAreDueAtOnceRunAsEarlierOnesEnd() {
    simulation.addExecutor("wide", new Resources(1L << 30, 1L << 30, 0));
    simulation.time().run(1_000);
    simulation.taskWorkMillis(id -> 1_000L);
    List<StepSpec> steps = List.of(tasks(96).build());
    JobSpec spec = new JobSpec("flood", quick(), "team", "p", steps, 1, 1, 200, 0);
    submit(spec);
    for (int i = 0; i < 20; i++) {
      simulation.time().run(25);
      int tasks = simulation.executors().stream().mapToInt(e -> e.tasks().size()).sum();
      assertThat(tasks).isAtMost(SchedulerSettings.builder().build().maxBegunTasks());
    }
    assertOtherWorkIsDone();
    simulation.time().run(20_000);
    assertThat(state(spec)).isEqualTo(JobState.COMPLETED);
    assertThat(simulation.oracle().startCount()).isEqualTo(96 * 200 + 2);
    assertThat(simulation.oracle().violations()).isEmpty();
  }

  /** Guards against an executor that cannot be called ending every owner's term. */
  @Test
  void executorWhoseCallsCannotBeSentDoesNotStopOtherWork() {
    FakeExecutor odd = simulation.addExecutor("odd", EXECUTOR_CAPACITY);
    odd.uncallable(true);
    simulation.time().run(1_000);
    assertOtherWorkIsDone();
    assertThat(simulation.logLines().stream().filter(l -> l.contains("EXECUTOR_SET_ASIDE")).count())
        .isEqualTo(1);
  }

  /** Guards against tasks that wait for ever on an executor that cannot be called any more. */
  @Test
  void tasksOfAnExecutorThatIsSetAsideRunElsewhereOnceTheLeaseHasLapsed() {
    JobSpec spec = job("j1", quick(), tasks(1).longRunning(true).build());
    submit(spec);
    FakeExecutor odd = executorRunning(spec);
    odd.uncallable(true);
    simulation.time().run(9_000);
    assertThat(executorRunning(spec)).isNotEqualTo(odd);
    assertThat(simulation.oracle().violations()).isEmpty();
  }

  /** Guards against a record of the ledger that no owner can restore, so that none begins. */
  @Test
  void ledgerRecordThatContradictsItsJobDoesNotStopOtherWork() throws StoreException {
    JobSpec spec = job("odd", quick(), tasks(1).build());
    StepProgress unknownStep = new StepProgress(0, 9, true, List.of());
    simulation
        .lanes()
        .get(0)
        .append(
            List.of(
                LedgerCodec.job(spec),
                LedgerCodec.progress(
                    "odd",
                    new JobProgress(1, 1, JobState.RUNNING, true, List.of(unknownStep), "", ""))),
            Optional.empty());
    owner().kill();
    simulation.time().run(3_000);
    assertOtherWorkIsDone();
    assertThat(simulation.logLines().stream().filter(l -> l.contains("JOB_SET_ASIDE")).count())
        .isEqualTo(1);
  }

  /** Guards against records of the inbox that stop the owner, or a new one that loads them. */
  @Test
  void inboxRecordsThatCannotBeReadDoNotStopOtherWork() throws StoreException {
    for (FakeLog partition : simulation.inbox()) {
      partition.append(
          List.of(
              new KeyedTopic.Entry("job/empty", new byte[] {0}, 0),
              new KeyedTopic.Entry("job/garbage", new byte[] {25, 127, 3, -1}, 0)),
          Optional.empty());
    }
    simulation.time().run(500);
    assertOtherWorkIsDone();
    owner().kill();
    simulation.time().run(3_000);
    assertOtherWorkIsDone();
  }

  private static StepSpec hugeGang() {
    Resources task = new Resources(1L << 40, 1L << 36, 1 << 20);
    return StepSpec.builder().tasks(24).gang(true).resources(task).estimateMillis(500).build();
  }

  private void assertOtherWorkIsDone() {
    JobSpec other = job("other" + simulation.time().now(), quick(), tasks(2).build());
    simulation.submit(owner(), other);
    simulation.time().run(3_000);
    assertThat(simulation.oracle().isDone(other)).isTrue();
    assertThat(simulation.logLines().stream().filter(l -> l.contains("INTERNAL_ERROR")).toList())
        .isEmpty();
  }
}
