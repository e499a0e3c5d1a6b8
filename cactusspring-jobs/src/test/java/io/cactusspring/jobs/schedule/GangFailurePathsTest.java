package io.cactusspring.jobs.schedule;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.jobs.model.JobState;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import org.junit.jupiter.api.Test;

/**
 * Tests the less usual ways in which the failure of a member of a gang reaches an owner: each run
 * of which a member has failed counts, and counts once.
 */
final class GangFailurePathsTest {
  private static final class Gang extends GangFixture {
    Gang(int attempts) {
      super(attempts);
    }

    Gang(int attempts, StepSpec step, int repetitions) {
      super(attempts, step, repetitions);
    }
  }

  /** Guards against a failure that is lost because the report had no room for its end. */
  @Test
  void endThatAReportLeftOutCountsWhenItIsListed() {
    Gang gang = new Gang(3);
    gang.submit();
    gang.startRun();
    gang.end("x0", EndReason.FAILED);
    gang.reportWithoutEnds("x0");
    gang.store();
    assertThat(gang.storedFailures()).isEqualTo(0);
    gang.report("x0");
    gang.store();
    assertThat(gang.storedFailures()).isEqualTo(1);
    gang.fail("x1");
    gang.store();
    assertThat(gang.storedFailures()).isEqualTo(1);
  }

  /** Guards against a restored gang that is incomplete and takes no note of failures any more. */
  @Test
  void memberThatFailsWhileAnIncompleteGangIsStoppedCountsOnce() {
    Gang gang = new Gang(3);
    gang.submit();
    gang.startRun();
    gang.end("x0", EndReason.BROKEN);
    gang.report("x0");
    gang.store();
    gang.takeOver();
    gang.fail("x1", "x2");
    gang.store();
    assertThat(gang.storedFailures()).isEqualTo(1);
    assertThat(gang.startRun()).isEqualTo(2);
  }

  /** Guards against a run that is not counted because a member was lost with its executor. */
  @Test
  void memberThatFailsAfterAnotherOneWasLostCountsOnce() {
    Gang gang = new Gang(3);
    gang.submit();
    gang.startRun();
    gang.crash("x0");
    gang.report("x0");
    gang.fail("x1");
    gang.store();
    gang.takeOver();
    gang.fail("x2");
    gang.store();
    assertThat(gang.storedFailures()).isEqualTo(1);
  }

  /** Guards against an executor that forgets an end of which the store holds nothing. */
  @Test
  void endIsNotForgottenWhileTheJobWaitsToBeStored() {
    Gang gang = new Gang(3);
    gang.submit();
    gang.startRun();
    gang.fail("x0");
    assertThat(gang.endsForgotten(0)).isEmpty();
    assertThat(gang.endsForgotten(1)).hasSize(1);
  }

  /** Guards against a service that ends for good because its members fail. */
  @Test
  void gangThatLastsIsRestartedHoweverOftenItFails() {
    Gang gang = new Gang(2, GangFixture.gang().longRunning(true).build(), 0);
    gang.submit();
    for (int run = 1; run <= 5; run++) {
      assertThat(gang.startRun()).isEqualTo(run);
      gang.fail("x0", "x2");
      gang.store();
      assertThat(gang.storedFailures()).isEqualTo(run);
      if (run % 2 == 0) {
        gang.takeOver();
      }
    }
    assertThat(gang.state()).isEqualTo(JobState.RUNNING);
  }

  /** Guards against a service whose members fail at once being started in a tight loop. */
  @Test
  void gangThatLastsPausesBeforeItIsRestarted() {
    Gang gang = new Gang(2, GangFixture.gang().longRunning(true).build(), 0);
    gang.submit();
    gang.startRun();
    gang.fail("x0", "x1", "x2", "x3");
    assertThat(gang.decide()).isEmpty();
    gang.advance(200);
    assertThat(gang.decide().map(RunKey::number)).hasValue(2);
  }

  /** Guards against occurrences that share their attempts, or lose them at a takeover. */
  @Test
  void runsOfEachOccurrenceCountForThemselves() {
    Gang gang = new Gang(3, GangFixture.gang().build(), 2);
    gang.submit();
    gang.advance(2_000);
    for (int run = 1; run <= 2; run++) {
      assertThat(gang.startAnyRun().map(RunKey::toString)).hasValue("j1.0.0.0#" + run);
      gang.fail("x0", "x3");
      gang.store();
      gang.takeOver();
    }
    assertThat(gang.startAnyRun().map(RunKey::toString)).hasValue("j1.0.0.0#3");
    gang.busy().forEach(e -> gang.end(e, EndReason.DONE));
    for (int run = 1; run <= 3; run++) {
      assertThat(gang.startAnyRun().map(RunKey::toString)).hasValue("j1.1.0.0#" + run);
      gang.fail("x0", "x3");
      assertThat(gang.state()).isEqualTo(run < 3 ? JobState.RUNNING : JobState.FAILED);
      gang.takeOver();
    }
  }

  /** Guards against attempts that are counted anew, or by the earlier limit. */
  @Test
  void runsThatFailedBeforeAChangeOfTheAttemptsCountAfterIt() {
    Gang gang = new Gang(2);
    gang.submit();
    gang.startRun();
    gang.fail("x0", "x1");
    gang.configure(4);
    for (int run = 2; run <= 3; run++) {
      assertThat(gang.startRun()).isEqualTo(run);
      gang.fail("x0", "x1", "x2");
      assertThat(gang.state()).isEqualTo(JobState.RUNNING);
    }
    gang.startRun();
    gang.fail("x3");
    assertThat(gang.state()).isEqualTo(JobState.FAILED);
  }
}
