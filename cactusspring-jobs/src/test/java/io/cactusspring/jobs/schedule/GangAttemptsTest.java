package io.cactusspring.jobs.schedule;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.jobs.model.JobState;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that a run of a gang counts as one attempt, whichever of its members fail. */
final class GangAttemptsTest extends GangFixture {
  private static final int ATTEMPTS = 3;

  GangAttemptsTest() {
    super(ATTEMPTS);
  }

  @Test
  void runOfWhichAllMembersFailIsOneAttempt() {
    submit();
    assertThat(startRun()).isEqualTo(1);
    fail("x0", "x1", "x2", "x3");
    assertThat(state()).isEqualTo(JobState.RUNNING);
    assertThat(startRun()).isEqualTo(2);
  }

  @Test
  void jobFailsOnceAsManyRunsAsAttemptsHaveFailed() {
    submit();
    for (int run = 1; run <= ATTEMPTS; run++) {
      assertThat(state()).isEqualTo(run == 1 ? JobState.PENDING : JobState.RUNNING);
      assertThat(startRun()).isEqualTo(run);
      fail("x1", "x2");
    }
    assertThat(state()).isEqualTo(JobState.FAILED);
  }

  @Test
  void membersOfOneRunThatFailUnderSeveralOwnersAreOneAttempt() {
    submit();
    assertThat(startRun()).isEqualTo(1);
    for (String executor : List.of("x0", "x1", "x2", "x3")) {
      fail(executor);
      store();
      takeOver();
    }
    assertThat(state()).isEqualTo(JobState.RUNNING);
    assertThat(startRun()).isEqualTo(2);
  }

  @Test
  void failuresThatTheLastOwnerDidNotStoreAreOneAttemptToo() {
    submit();
    assertThat(startRun()).isEqualTo(1);
    fail("x0", "x1", "x2", "x3");
    takeOver();
    assertThat(state()).isEqualTo(JobState.RUNNING);
    assertThat(startRun()).isEqualTo(2);
  }

  @Test
  void runsOfWhichOneMemberFailsCountThroughTakeovers() {
    submit();
    for (int run = 1; run <= ATTEMPTS; run++) {
      assertThat(startRun()).isEqualTo(run);
      fail("x" + run);
      assertThat(state()).isEqualTo(run < ATTEMPTS ? JobState.RUNNING : JobState.FAILED);
      if (run < ATTEMPTS) {
        takeOver();
      }
    }
  }

  /** Guards against a restored run that is taken as counted because an earlier one was. */
  @Test
  void runThatWasActiveAtTheTakeoverCountsWhenItFails() {
    submit();
    for (int run = 1; run <= ATTEMPTS; run++) {
      assertThat(startRun()).isEqualTo(run);
      takeOver();
      fail("x1");
      assertThat(state()).isEqualTo(run < ATTEMPTS ? JobState.RUNNING : JobState.FAILED);
    }
  }
}
