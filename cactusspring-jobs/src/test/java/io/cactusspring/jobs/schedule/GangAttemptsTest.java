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

  /** Guards against a job that fails in the first run, as each member of it counts. */
  @Test
  void runOfWhichAllMembersFailIsOneAttempt() {
    submit();
    assertThat(startRun()).isEqualTo(1);
    fail("x0", "x1", "x2", "x3");
    assertThat(state()).isEqualTo(JobState.RUNNING);
    assertThat(startRun()).isEqualTo(2);
  }

  /** Guards against runs that count more than once, and against runs that do not count. */
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

  /** Guards against a run that each owner counts that reads an end of it. */
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

  /** Guards against members that count one by one when a new owner reads all their ends. */
  @Test
  void failuresThatTheLastOwnerDidNotStoreAreOneAttemptToo() {
    submit();
    assertThat(startRun()).isEqualTo(1);
    fail("x0", "x1", "x2", "x3");
    takeOver();
    assertThat(state()).isEqualTo(JobState.RUNNING);
    assertThat(startRun()).isEqualTo(2);
  }

  /** Guards against failed runs that a new owner forgets. */
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
