package io.cactusspring.jobs.schedule;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.jobs.port.ExecutorClient.CommandResult;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalRequest;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalResult;
import io.cactusspring.jobs.port.ExecutorClient.StartRequest;
import org.junit.jupiter.api.Test;

/**
 * Tests that an executor that started again under its id keeps the ends of its runs until the owner
 * has read them. Acknowledgements name ends by numbers that begin anew with each boot.
 */
final class RebootedExecutorEndsTest extends RebootedExecutorFixture {
  /** Lets a run end on the executor, and the owner read its end. */
  private void readEndOfFirstJob() {
    beginWithExecutorThatIsUpForLong();
    submit();
    start();
    endRun();
    renew();
  }

  private void startSecondJobThatEndsAtOnce() {
    submit();
    StartRequest start = sendStart();
    carryOut(start);
    answered(start, new CommandResult.Done(clock()));
    endRun();
  }

  private void assertSecondJobIsNotStartedAgain() {
    now += 50;
    renew();
    now += 50;
    renew();
    assertThat(decide()).isEmpty();
    assertThat(decisions().toString()).doesNotContain("RUN_LOST");
  }

  /**
   * Guards against a second run of a task whose end was deleted unread: the store takes longer than
   * the executor needs to start again.
   */
  @Test
  void endsThatAreStoredAfterTheExecutorRebootedAreNotAcknowledgedToTheLaterBoot() {
    readEndOfFirstJob();
    reboot();
    now += 400;
    startSecondJobThatEndsAtOnce();
    store();
    renew();
    assertSecondJobIsNotStartedAgain();
  }

  /**
   * Guards against a second run of a task whose end was deleted unread: a call was given up, and an
   * answer to a start ends the silence of the executor before its reboot is known.
   */
  @Test
  void endsAreNotAcknowledgedAgainOnceAnAnswerToAStartEndsTheSilence() {
    readEndOfFirstJob();
    store();
    submit();
    StartRequest start = sendStart();
    loseRenewal();
    reboot();
    carryOut(start);
    answered(start, new CommandResult.Done(clock()));
    endRun();
    renew();
    assertSecondJobIsNotStartedAgain();
  }

  /**
   * Guards against a second run of a task whose end was deleted unread: a call without an answer is
   * carried out seconds later, by a later boot.
   */
  @Test
  void acknowledgementThatIsCarriedOutLateHasNoEffectOnTheLaterBoot() {
    readEndOfFirstJob();
    store();
    LeaseRenewalRequest late = owner().leaseRenewalRequest(REBOOTED, true, now);
    assertThat(late.acknowledgedEnd()).isEqualTo(1);
    LeaseRenewalResult none = new LeaseRenewalResult.Unknown("no answer");
    now += 1_600;
    owner().leaseRenewalAnswered(REBOOTED, late, now - 1_600, none, now);
    reboot();
    announceRebooted();
    renew();
    startSecondJobThatEndsAtOnce();
    carryOut(late);
    assertSecondJobIsNotStartedAgain();
  }
}
