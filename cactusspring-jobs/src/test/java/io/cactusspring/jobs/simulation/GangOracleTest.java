package io.cactusspring.jobs.simulation;

import static com.google.common.truth.Truth.assertThat;
import static io.cactusspring.jobs.simulation.GangFixture.BREAK_MILLIS;
import static io.cactusspring.jobs.simulation.GangFixture.MEMBERS;
import static io.cactusspring.jobs.simulation.GangFixture.WORK_MILLIS;

import io.cactusspring.jobs.ledger.JobProgress;
import io.cactusspring.jobs.ledger.LedgerCodec;
import io.cactusspring.jobs.ledger.StepProgress;
import io.cactusspring.jobs.ledger.TaskProgress;
import io.cactusspring.jobs.model.JobState;
import io.cactusspring.jobs.port.StoreException;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests what the oracle says of the runs of a gang that the test starts in place of an owner. */
final class GangOracleTest {
  private static final int ATTEMPTS = ClusterSimulation.MAX_ATTEMPTS;

  private final GangFixture gang = new GangFixture(1);
  private final Oracle oracle = gang.simulation.oracle();

  private void assertViolation(String rule) {
    assertThat(oracle.violations()).isNotEmpty();
    oracle.violations().forEach(v -> assertThat(v).contains(" ms: " + rule + ": "));
  }

  /** Guards against an oracle that excuses a job shown as failed after one run of many members. */
  @Test
  void runIsOneFailedAttemptWhicheverOfItsMembersFail() {
    for (int run = 1; run <= ATTEMPTS; run++) {
      assertThat(oracle.mayFail(gang.job)).isFalse();
      gang.failRun(run);
      assertThat(oracle.failures(GangFixture.member(2))).isEqualTo(run);
    }
    assertThat(oracle.mayFail(gang.job)).isTrue();
    assertThat(oracle.violations()).isEmpty();
  }

  @Test
  void startAfterAsManyFailedRunsAsAttemptsIsAViolation() {
    for (int run = 1; run <= ATTEMPTS; run++) {
      gang.failRun(run);
    }
    assertThat(oracle.violations()).isEmpty();
    gang.start(0, ATTEMPTS + 1, "");
    assertViolation("attempt limit");
  }

  @Test
  void runDoesNotCountIfAllItsFailedEndsAreLostAndNoneIsStored() {
    for (int run = 1; run <= ATTEMPTS; run++) {
      gang.failRun(run);
    }
    loseEnds();
    gang.start(0, ATTEMPTS + 1, "");
    assertThat(oracle.violations()).isEmpty();
    assertThat(oracle.mayFail(gang.job)).isTrue();
  }

  @Test
  void runCountsIfItsFailedEndsAreLostButStored() throws StoreException {
    for (int run = 1; run <= ATTEMPTS; run++) {
      gang.failRun(run);
    }
    loseEnds();
    TaskProgress first = new TaskProgress(false, ATTEMPTS, ATTEMPTS, "", 0, "");
    TaskProgress other = new TaskProgress(false, ATTEMPTS, 0, "", 0, "");
    StepProgress step = new StepProgress(0, 0, false, List.of(first, other, other, other));
    JobProgress progress =
        new JobProgress(1, 1, JobState.RUNNING, true, List.of(step), "quick", "team");
    gang.simulation
        .lanes()
        .get(0)
        .append(
            List.of(LedgerCodec.job(gang.job), LedgerCodec.progress("job", progress)),
            Optional.empty());
    gang.start(0, ATTEMPTS + 1, "");
    assertViolation("attempt limit");
  }

  private void loseEnds() {
    gang.executors.forEach(FakeExecutor::crash);
    gang.executors.forEach(FakeExecutor::boot);
  }

  @Test
  void crashOfSeveralMembersInOneRunIsOneCrash() {
    gang.startAll(1);
    gang.executors.get(0).crash();
    gang.executors.get(1).crash();
    assertThat(oracle.mayFail(gang.job)).isFalse();
    gang.run(BREAK_MILLIS);
    gang.executors.get(0).boot();
    gang.executors.get(1).boot();
    gang.startAll(2);
    gang.executors.get(2).crash();
    assertThat(oracle.mayFail(gang.job)).isTrue();
  }

  @Test
  void memberWithAnotherCheckpointThanTheOthersIsAViolation() {
    gang.startAll(1);
    gang.run(400);
    final String early = gang.checkpoint(0);
    gang.run(100);
    final String late = gang.checkpoint(1);
    gang.stop(0, 1);
    gang.run(100 + BREAK_MILLIS);
    gang.start(0, 2, early);
    assertThat(oracle.violations()).isEmpty();
    gang.start(1, 2, late);
    assertViolation("checkpoint");
  }

  @Test
  void checkpointThatNoExecutorHasReportedIsAViolation() {
    gang.start(0, 1, "77");
    assertViolation("checkpoint");
  }

  @Test
  void memberThatEndsAloneWithoutAFaultIsAViolation() {
    gang.start(0, 1, "");
    gang.run(GangRuns.TIMEOUT_MILLIS);
    assertViolation("alone");
  }

  @Test
  void memberThatEndsAloneSoonAfterAFaultIsNone() {
    gang.simulation.faultFree(false);
    gang.start(0, 1, "");
    gang.run(1);
    gang.simulation.faultFree(true);
    gang.run(GangRuns.TIMEOUT_MILLIS);
    assertThat(oracle.violations()).isEmpty();
  }

  @Test
  void startBesideAMemberOfAnEarlierRunIsAViolation() {
    gang.startAll(1);
    gang.executors.get(0).crash();
    gang.executors.get(0).boot();
    gang.start(0, 2, "");
    assertViolation("gang");
  }

  /** One member that is done stands for all of them. */
  @Test
  void startAfterTheAcknowledgedEndOfAnotherMemberIsAViolation() {
    gang.startAll(1);
    gang.run(WORK_MILLIS);
    assertThat(gang.ends()).hasSize(MEMBERS);
    gang.report(0, 1);
    gang.executors.subList(1, MEMBERS).forEach(FakeExecutor::crash);
    gang.executors.subList(1, MEMBERS).forEach(FakeExecutor::boot);
    assertThat(oracle.isDone(GangFixture.member(2), false)).isTrue();
    gang.start(2, 2, "");
    assertViolation("duplicate run");
  }

  @Test
  void gangIsDoubtfullyDoneOnceTheEndsOfAllMembersAreLost() {
    gang.startAll(1);
    gang.run(WORK_MILLIS);
    gang.executors.get(0).crash();
    assertThat(oracle.isDone(GangFixture.member(0), false)).isTrue();
    gang.executors.forEach(FakeExecutor::crash);
    assertThat(oracle.isDone(GangFixture.member(0), false)).isFalse();
    assertThat(oracle.isDone(GangFixture.member(0), true)).isTrue();
  }
}
