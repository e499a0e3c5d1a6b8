package io.cactusspring.soak;

import static com.google.common.truth.Truth.assertThat;
import static io.cactusspring.soak.History.JOB;
import static io.cactusspring.soak.History.QUEUE;
import static io.cactusspring.soak.History.step;
import static io.cactusspring.soak.History.task;

import io.cactusspring.jobs.model.JobState;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against checks of gangs and of attempts that pass everything. */
final class GangOracleTest {
  private static final StepSpec GANG = step(3, 1_000).gang(true).build();
  private static final StepSpec SMALL = step(2, 1_000).build();

  private final History history = new History();

  /** Lets a run start in which members fail and the others break. */
  private static History failedRun(History history, int run, int failing) {
    IntStream.range(0, 3).forEach(i -> history.started("x0", task(0, i), run));
    IntStream.range(0, 3)
        .forEach(
            i ->
                history.ended(
                    "x0", task(0, i), run, i < failing ? EndReason.FAILED : EndReason.BROKEN));
    return history;
  }

  private static History acknowledged(History history, int run, int failing) {
    IntStream.range(0, failing)
        .forEach(i -> history.acknowledged("x0", task(0, i), run, EndReason.FAILED));
    return history;
  }

  @Test
  void gangOfWhichOneRunIsCountedForEachMemberIsFound() {
    failedRun(history.accepted(GANG), 1, 3);
    assertThat(history.seen(JobState.FAILED).broken()).containsExactly(Rule.FALSE_FINAL_STATE);
  }

  @Test
  void gangThatIsGivenUpAfterOneFailedRunAndABrokenOneIsFound() {
    failedRun(history.accepted(GANG), 1, 1);
    history.acknowledged("x0", task(0, 0), 1, EndReason.FAILED);
    history.started("x1", task(0, 1), 2).ended("x1", task(0, 1), 2, EndReason.BROKEN);
    assertThat(history.seen(JobState.FAILED).broken()).containsExactly(Rule.FALSE_FINAL_STATE);
  }

  @Test
  void gangMayBeGivenUpAfterAsManyFailedRunsAsItMayHave() {
    history.accepted(GANG);
    failedRun(failedRun(history, 1, 2), 2, 1);
    assertThat(history.seen(JobState.FAILED).broken()).isEmpty();
  }

  @Test
  void startOfAGangAfterItsLastAttemptIsFound() {
    history.accepted(GANG);
    acknowledged(failedRun(history, 1, 3), 1, 3);
    acknowledged(failedRun(history, 2, 1), 2, 1);
    assertThat(history.broken()).isEmpty();
    history.started("x0", task(0, 0), 3);
    assertThat(history.broken()).containsExactly(Rule.ATTEMPTS_EXCEEDED);
  }

  @Test
  void gangThatGoesOnWithoutAMemberThatHasEndedIsFound() {
    history.accepted(GANG);
    IntStream.range(0, 3).forEach(i -> history.started("x0", task(0, i), 1));
    history.ended("x0", task(0, 1), 1, EndReason.STOPPED).pass(GangChecks.GANG_MILLIS);
    assertThat(history.broken()).isEmpty();
    history.pass(GangChecks.BREAK_MILLIS);
    assertThat(history.broken()).contains(Rule.GANG_INCOMPLETE);
  }

  @Test
  void secondRunOfAGangWhoseMembersHaveAllFailedIsNoViolation() {
    history.accepted(GANG);
    acknowledged(failedRun(history, 1, 3), 1, 3);
    failedRun(history, 2, 3);
    assertThat(history.broken()).isEmpty();
  }

  @Test
  void startAfterFailuresThatAreTakenNoteOfLaterIsFound() {
    history.accepted(SMALL);
    for (int run = 1; run <= 2; run++) {
      history.started("x0", task(0, 0), run).ended("x0", task(0, 0), run, EndReason.FAILED);
    }
    history.acknowledged("x0", task(0, 0), 1, EndReason.FAILED).started("x0", task(0, 0), 3);
    assertThat(history.broken()).isEmpty();
    history.acknowledged("x0", task(0, 0), 2, EndReason.FAILED);
    assertThat(history.broken()).containsExactly(Rule.ATTEMPTS_EXCEEDED);
  }

  @Test
  void failuresOfDifferentTasksLeaveFurtherAttempts() {
    history.accepted(SMALL);
    for (int i = 0; i < 2; i++) {
      history.started("x0", task(0, i), 1).ended("x0", task(0, i), 1, EndReason.FAILED);
      history.acknowledged("x0", task(0, i), 1, EndReason.FAILED);
    }
    history.started("x0", task(0, 0), 2).started("x0", task(0, 1), 2);
    assertThat(history.broken()).isEmpty();
  }

  @Test
  void longRunningTaskStartsHoweverOftenItHasFailed() {
    history.accepted(step(1, 1_000).longRunning(true).build());
    for (int run = 1; run <= 4; run++) {
      history.started("x0", task(0, 0), run).ended("x0", task(0, 0), run, EndReason.FAILED);
      history.acknowledged("x0", task(0, 0), run, EndReason.FAILED);
    }
    assertThat(history.broken()).isEmpty();
  }

  @Test
  void furtherAttemptOfAConfigurationThatWasReplacedLatelyIsNoViolation() {
    for (long millisAgo : List.of(5_000L, 15_000L)) {
      History configured = new History();
      Queue more = new Queue("queue", "", "/queue/", "s", 0, 3, 1.5, 250, null, false);
      configured.observe(at -> new Observation.Configured(at, 1, List.of(more), List.of()));
      configured.observe(at -> new Observation.Configured(at, 2, List.of(QUEUE), List.of()));
      configured.pass(millisAgo).accepted(GANG);
      acknowledged(failedRun(configured, 1, 1), 1, 1);
      acknowledged(failedRun(configured, 2, 1), 2, 1);
      configured.started("x0", task(0, 0), 3);
      assertThat(configured.broken())
          .containsExactlyElementsIn(
              millisAgo < 10_000 ? List.of() : List.of(Rule.ATTEMPTS_EXCEEDED));
    }
  }

  @Test
  void startAfterAnAcknowledgedEndOfAnotherMemberIsFound() {
    history.accepted(GANG).done("x0", task(0, 0)).acknowledged("x0", task(0, 0), 1, EndReason.DONE);
    history.started("x0", task(0, 1), 2);
    assertThat(history.broken()).containsExactly(Rule.RUN_AFTER_ACKNOWLEDGED_END);
  }

  @Test
  void memberThatIsStartedFromAnotherCheckpointIsFound() {
    history.accepted(GANG).started("x0", task(0, 0), 2, "70").started("x0", task(0, 1), 2, "70");
    assertThat(history.broken()).isEmpty();
    history.started("x1", task(0, 2), 2, "80");
    assertThat(history.broken()).containsExactly(Rule.GANG_CHECKPOINTS_DIFFER);
  }

  private static History alone(History history) {
    history.accepted(GANG).started("x0", task(0, 0), 1);
    return history.pass(GangChecks.ALONE_MILLIS).ended("x0", task(0, 0), 1, EndReason.ALONE);
  }

  @Test
  void memberThatWaitedForTheOthersInVainIsFound() {
    assertThat(alone(history).pass(1_000).broken()).containsExactly(Rule.GANG_MEMBER_ALONE);
  }

  @Test
  void memberMayWaitInVainAfterADisturbance() {
    history.observe(at -> new Observation.Disturbed(at, at + 100)).pass(500);
    assertThat(alone(history).pass(9_000).broken()).isEmpty();
  }

  @Test
  void memberOfACancelledJobMayWaitInVain() {
    history.accepted(GANG).started("x0", task(0, 0), 1);
    history.observe(at -> new Observation.CancelSent(at, JOB)).pass(GangChecks.ALONE_MILLIS);
    history.ended("x0", task(0, 0), 1, EndReason.ALONE).pass(1_000);
    assertThat(history.broken()).isEmpty();
  }

  @Test
  void gangWhoseMembersHaveAllStartedMayEndOneByOne() {
    history.accepted(GANG);
    IntStream.range(0, 3).forEach(i -> history.started("x0", task(0, i), 1));
    history.pass(GangChecks.GANG_MILLIS - 60).ended("x0", task(0, 0), 1, EndReason.FAILED).pass(90);
    assertThat(history.broken()).isEmpty();
  }
}
