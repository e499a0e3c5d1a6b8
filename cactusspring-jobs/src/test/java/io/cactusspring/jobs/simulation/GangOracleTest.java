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
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
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

  /** Guards against an oracle that excuses a job given up after one run with many crashes. */
  @Test
  void runIsOneCrashHoweverManyOfItsExecutorsCrash() {
    crashRun(1, 10, 0, 1, 2);
    assertThat(oracle.mayFail(gang.job)).isFalse();
    crashRun(2, 10, 2);
    assertThat(oracle.mayFail(gang.job)).isTrue();
  }

  @Test
  void threeLateCrashesMayFailAGangAndTwoMayNot() {
    crashRun(1, 900, 0, 3);
    crashRun(2, 900, 1, 2);
    assertThat(oracle.mayFail(gang.job)).isFalse();
    crashRun(3, 900, 1);
    assertThat(oracle.mayFail(gang.job)).isTrue();
  }

  /** The owner can't tell a member that has ended unseen from one that was still there. */
  @Test
  void crashBeforeTheEndOfAMemberIsAcknowledgedIsOneOfItsRun() {
    crashRun(1, 900, 0);
    crashRun(2, 900, 0);
    gang.startAll(3);
    gang.stop(0, 3);
    gang.run(100 + BREAK_MILLIS);
    gang.executors.get(1).crash();
    assertThat(oracle.mayFail(gang.job)).isTrue();
  }

  /** Starts a run, and lets executors crash after some milliseconds; all ends are acknowledged. */
  private void crashRun(int run, long millis, int... crashing) {
    gang.startAll(run);
    gang.run(millis);
    List<FakeExecutor> executors = Arrays.stream(crashing).mapToObj(gang.executors::get).toList();
    executors.forEach(FakeExecutor::crash);
    gang.run(BREAK_MILLIS);
    executors.forEach(FakeExecutor::boot);
    IntStream.range(0, MEMBERS).forEach(i -> gang.report(i, run));
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
