package io.cactusspring.jobs.simulation;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.model.TaskId;
import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalRequest;
import io.cactusspring.jobs.port.ExecutorClient.StartRequest;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what the oracle says of starts around the acknowledged end of a run of the same task. */
final class AcknowledgedEndOracleTest {
  private static final TaskId TASK = new TaskId("job", 0, 0, 0);
  private static final long WORK_MILLIS = 100;
  private static final long LEASE_MILLIS = 2_000;
  private static final long TOKEN = 1;

  private final ClusterSimulation simulation = new ClusterSimulation(1);
  private final Oracle oracle = simulation.oracle();
  private final FakeExecutor first = simulation.addExecutor("x1", new Resources(1_000, 1_000, 0));
  private final FakeExecutor second = simulation.addExecutor("x2", new Resources(1_000, 1_000, 0));
  private EndReason reason = EndReason.DONE;

  @BeforeEach
  void submitJobOfOneTask() {
    simulation.taskWorkMillis(id -> WORK_MILLIS);
    simulation.taskEnd(id -> reason);
    StepSpec step = StepSpec.builder().tasks(1).resources(new Resources(500, 100, 0)).build();
    oracle.submitted(
        new JobSpec(
            TASK.job(),
            ClusterSimulation.queue("quick", 0, null),
            "team",
            "payload",
            List.of(step),
            0,
            0,
            0,
            0));
  }

  private void start(FakeExecutor executor, int run) {
    long leaseEnd = clock(executor) + LEASE_MILLIS;
    executor.start(new StartRequest(TASK, run, "payload", leaseEnd, TOKEN, "", ""));
  }

  private void runToItsEnd(FakeExecutor executor, int run) {
    start(executor, run);
    simulation.time().run(WORK_MILLIS);
    assertThat(executor.tasks()).isEmpty();
  }

  /** Reads the end and acknowledges it. */
  private void acknowledge(FakeExecutor executor) {
    renew(executor, 0);
    renew(executor, 1);
  }

  private void renew(FakeExecutor executor, long acknowledgedEnd) {
    long leaseEnd = clock(executor) + LEASE_MILLIS;
    executor.renewLeases(new LeaseRenewalRequest(leaseEnd, TOKEN, acknowledgedEnd, 0));
  }

  private long clock(FakeExecutor executor) {
    return simulation.time().now() - executor.info().bootMillis();
  }

  private void assertOneDuplicateRun(String details) {
    assertWithMessage("violations").that(oracle.violations()).hasSize(1);
    assertThat(oracle.violations().get(0)).contains(" ms: duplicate run: " + TASK + " " + details);
  }

  @Test
  void startAfterTheAcknowledgedEndIsAViolation() {
    runToItsEnd(first, 1);
    acknowledge(first);
    assertThat(oracle.violations()).isEmpty();
    start(second, 2);
    assertOneDuplicateRun("starts after its successful end was acknowledged, run 2 on x2");
  }

  /** Guards against an oracle that checks starts only against ends acknowledged before them. */
  @Test
  void startBeforeTheAcknowledgementOfTheEndIsAViolation() {
    runToItsEnd(first, 1);
    start(second, 2);
    assertThat(oracle.violations()).isEmpty();
    acknowledge(first);
    assertOneDuplicateRun("started run 2 after the successful end of run 1, acknowledged now");
  }

  @Test
  void startBesideAListedEndThatIsNeverAcknowledgedIsNone() {
    runToItsEnd(first, 1);
    start(second, 2);
    first.crash();
    first.boot();
    acknowledge(first);
    assertThat(oracle.violations()).isEmpty();
  }

  @Test
  void startIsNoneIfTheLeaseLapsedBetweenTheEndAndItsAcknowledgement() {
    runToItsEnd(first, 1);
    start(second, 2);
    simulation.time().run(LEASE_MILLIS);
    acknowledge(first);
    assertThat(oracle.violations()).isEmpty();
  }

  @Test
  void startAfterAnEndThatIsNotSuccessfulIsNone() {
    reason = EndReason.FAILED;
    runToItsEnd(first, 1);
    start(second, 2);
    acknowledge(first);
    assertThat(oracle.violations()).isEmpty();
  }

  /** The end of the second run follows its start. */
  @Test
  void endOfTheRunThatStartedLastMayBeAcknowledged() {
    reason = EndReason.FAILED;
    runToItsEnd(first, 1);
    acknowledge(first);
    reason = EndReason.DONE;
    runToItsEnd(second, 2);
    acknowledge(second);
    assertThat(oracle.violations()).isEmpty();
  }

  @Test
  void acknowledgementOfAnEndThatNoReportHasListedIsAViolation() {
    runToItsEnd(first, 1);
    renew(first, 1);
    assertThat(oracle.violations()).hasSize(1);
    assertThat(oracle.violations().get(0)).contains(" ms: unread end: x1 deletes ");
  }

  /** Guards against an oracle that takes the ends of a later boot for those that were read. */
  @Test
  void acknowledgementOfEndsOfTheBootBeforeIsAViolation() {
    runToItsEnd(first, 1);
    renew(first, 0);
    first.crash();
    first.boot();
    runToItsEnd(first, 2);
    renew(first, 1);
    assertThat(oracle.violations()).hasSize(1);
    assertThat(oracle.violations().get(0)).contains(" ms: unread end: x1 deletes ");
  }
}
