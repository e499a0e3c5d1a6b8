package io.cactusspring.jobs.schedule;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.jobs.ledger.JobProgress;
import io.cactusspring.jobs.ledger.StepProgress;
import io.cactusspring.jobs.ledger.TaskProgress;
import io.cactusspring.jobs.model.JobState;
import io.cactusspring.jobs.model.TaskId;
import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests the failures of a gang when hosts of this version and of the earlier one, which counted a
 * run once for each member that failed, own the executors in turn.
 */
final class GangVersionsTest extends GangFixture {
  private static final int ATTEMPTS = 6;

  GangVersionsTest() {
    super(ATTEMPTS);
  }

  private static TaskProgress over(int run, int failures) {
    return new TaskProgress(false, run, failures, "", 0, "");
  }

  private static TaskProgress active(int run, int failures, String executor) {
    return new TaskProgress(false, run, failures, executor, 77, "");
  }

  /** Stores what an owner of the earlier version has counted, and takes over from it. */
  private void takeOverFromEarlierVersion(TaskProgress... members) {
    submit();
    StepProgress gang = new StepProgress(0, 0, false, List.of(members));
    store(new JobProgress(beginTerm(), 1, JobState.RUNNING, true, List.of(gang), "", ""));
    for (int i = 0; i < members.length; i++) {
      if (!members[i].executor().isEmpty()) {
        started(members[i].executor(), new RunKey(new TaskId(JOB_ID, 0, 0, i), members[i].run()));
      }
    }
    takeOver();
  }

  /** Guards against a host of the earlier version that gives a job fewer attempts, or more. */
  @Test
  void earlierVersionReadsTheNumberOfFailedRuns() {
    submit();
    for (int run = 1; run <= 3; run++) {
      assertThat(startRun()).isEqualTo(run);
      fail("x0", "x2", "x3");
      store();
      assertThat(storedFailures()).isEqualTo(run);
      assertThat(storedGang().failedRun()).isEqualTo(run);
    }
  }

  /** Guards against a count of members that is kept for good, so that the job fails too soon. */
  @Test
  void failuresOfAllMembersOfTheOnlyRunAreOneAttempt() {
    takeOverFromEarlierVersion(over(1, 1), over(1, 1), over(1, 1), over(1, 1));
    assertThat(startRun()).isEqualTo(2);
    assertThat(storedFailures()).isEqualTo(1);
  }

  @Test
  void failuresBeforeTheActiveRunAreAtMostTheRunsBeforeIt() {
    takeOverFromEarlierVersion(
        active(2, 1, "x0"), active(2, 1, "x1"), active(2, 0, "x2"), active(2, 0, "x3"));
    fail("x1", "x2");
    store();
    assertThat(storedFailures()).isEqualTo(2);
  }

  @Test
  void runOfWhichAMemberWasCountedIsNotCountedAgain() {
    takeOverFromEarlierVersion(
        over(2, 2), active(2, 0, "x1"), active(2, 0, "x2"), active(2, 0, "x3"));
    fail("x1", "x2", "x3");
    store();
    assertThat(storedFailures()).isEqualTo(2);
  }

  /**
   * Guards against a run that is never counted: its first member to end has failed in an earlier
   * run and was only stopped in this one; another member fails after the takeover.
   */
  @Test
  void runCountsAlthoughTheMemberThatIsOverHasFailedOnlyBefore() {
    takeOverFromEarlierVersion(
        over(2, 1), active(2, 0, "x1"), active(2, 0, "x2"), active(2, 0, "x3"));
    fail("x1");
    store();
    assertThat(storedFailures()).isEqualTo(2);
  }

  /** Guards against failures of earlier runs being taken for one of the run that is active. */
  @Test
  void runOfWhichNoMemberThatIsOverHasFailedDoesNotCountYet() {
    takeOverFromEarlierVersion(
        over(2, 0), active(2, 1, "x1"), active(2, 1, "x2"), active(2, 1, "x3"));
    end("x1", EndReason.BROKEN);
    reportAll();
    store();
    assertThat(storedFailures()).isEqualTo(1);
  }

  /**
   * Guards against more failures than runs: this version has counted the run and holds the gang's
   * failures in the first member, which then fails itself under the earlier version.
   */
  @Test
  void noMoreFailuresAreReadThanThereWereRuns() {
    takeOverFromEarlierVersion(
        over(1, 2), active(1, 0, "x1"), active(1, 0, "x2"), active(1, 0, "x3"));
    fail("x1", "x2", "x3");
    assertThat(startRun()).isEqualTo(2);
    assertThat(storedFailures()).isEqualTo(1);
  }

  /** Guards against the last run being counted again for ends that no one can send any more. */
  @Test
  void nothingMoreCountsOfARunThatIsOver() {
    takeOverFromEarlierVersion(over(3, 1), over(3, 0), over(3, 0), over(3, 0));
    assertThat(startRun()).isEqualTo(4);
    assertThat(storedFailures()).isEqualTo(1);
    fail("x0", "x1");
    store();
    assertThat(storedFailures()).isEqualTo(2);
  }
}
