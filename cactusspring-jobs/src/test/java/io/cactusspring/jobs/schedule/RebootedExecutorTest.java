package io.cactusspring.jobs.schedule;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.jobs.port.ExecutorClient.CommandResult;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalRequest;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalResult;
import io.cactusspring.jobs.port.ExecutorClient.Refusal;
import io.cactusspring.jobs.port.ExecutorClient.StartRequest;
import io.cactusspring.jobs.schedule.JobScheduler.ReceivedEnds;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests until when a task may run on an executor that started again under its id and then does not
 * answer. Calls that were meant for the earlier boot may reach the later one, which takes the end
 * of a lease from them although it is a time on the clock of the earlier boot.
 */
final class RebootedExecutorTest extends RebootedExecutorFixture {
  /** Guards against a log that does not tell until when an executor may run tasks, and why. */
  @Test
  void linesOfAnExecutorTellItsLease() {
    beginWithExecutor();
    now += 400;
    reboot();
    announceRebooted();
    assertThat(decisions().toString())
        .containsMatch("EXECUTOR_REBOOTED x1 .*lease last granted 400 ms ago, lapses in \\d+ ms");
  }

  /** Guards against a log that does not tell why a later boot does not list a run. */
  @Test
  void lineOfALostRunTellsItsBootAndWhichEndsWereAcknowledged() {
    beginWithExecutor();
    submit();
    start();
    endRun();
    renew();
    store();
    renew();
    submit();
    start();
    now += 1_000;
    reboot();
    now += 500;
    renew();
    assertThat(decisions().toString())
        .contains(
            "RUN_LOST j2.0.0.0#1 sent to boot 77, not listed any more by boot 78, ends up to 1 of"
                + " boot 77 acknowledged 1500 ms ago on x1");
  }

  /** Guards against an executor without a lease because two calls of its owner change places. */
  @Test
  void renewalThatALaterCallHasOvertakenIsSentAgainAtOnce() {
    beginWithExecutor();
    submit();
    StartRequest start = sendStart();
    LeaseRenewalRequest overtaken = owner().leaseRenewalRequest(REBOOTED, true, now);
    now += 500;
    answered(start, new CommandResult.Unknown("no answer"));
    assertThat(owner().isFencedByLaterOwner(REBOOTED, overtaken.fencingToken())).isFalse();
    LeaseRenewalResult refused = new LeaseRenewalResult.Refused(Refusal.FENCED);
    owner().leaseRenewalAnswered(REBOOTED, overtaken, now - 500, refused, now);
    assertThat(owner().executorsToRenew(now)).containsExactly(REBOOTED);
    LeaseRenewalRequest next = owner().leaseRenewalRequest(REBOOTED, true, now);
    assertThat(next.leaseEndMillis()).isGreaterThan(0);
    assertThat(owner().isFencedByLaterOwner(REBOOTED, next.fencingToken())).isTrue();
  }

  /** Guards against a second run beside one on a boot that took a start for the boot before. */
  @Test
  void startThatTheLaterBootTookExtendsItsLease() {
    beginWithExecutorThatIsUpForLong();
    submit();
    StartRequest start = sendStart();
    reboot();
    now += 100;
    take(start.leaseEndMillis());
    answered(start, new CommandResult.Refused(Refusal.TICKET));
    announceRebooted();
    renew();
    start();
    cutOffAndWaitForStartElsewhere();
  }

  /** Guards against a second run beside one on a boot that took a renewal for the boot before. */
  @Test
  void renewalThatTheLaterBootTookExtendsItsLease() {
    beginWithExecutorThatIsUpForLong();
    LeaseRenewalRequest renewal = owner().leaseRenewalRequest(REBOOTED, true, now);
    reboot();
    now += 100;
    take(renewal.leaseEndMillis());
    owner().leaseRenewalAnswered(REBOOTED, renewal, now - 100, report(), now);
    announceRebooted();
    submit();
    start();
    cutOffAndWaitForStartElsewhere();
  }

  /** Guards against a call that arrives when the owner knows the later boot already. */
  @Test
  void callThatIsInFlightWhenTheRebootIsKnownExtendsTheLease() {
    beginWithExecutorThatIsUpForLong();
    submit();
    StartRequest start = sendStart();
    reboot();
    announceRebooted();
    now += 450;
    take(start.leaseEndMillis());
    answered(start, new CommandResult.Refused(Refusal.TICKET));
    renew();
    start();
    cutOffAndWaitForStartElsewhere();
  }

  private StartRequest leaveStartUnanswered() {
    beginWithExecutorThatIsUpForLong();
    submit();
    StartRequest start = sendStart();
    now += 500;
    answered(start, new CommandResult.Unknown("no answer"));
    reboot();
    announceRebooted();
    renew();
    decide();
    stopAnswered(start);
    now += 10;
    renew();
    start();
    return start;
  }

  /** Guards against a call without an answer that is carried out by the later boot. */
  @Test
  void unansweredCallMayExtendTheLeaseOfTheLaterBootSecondsLater() {
    StartRequest late = leaveStartUnanswered();
    now += 3_000;
    renew();
    now += 3_000;
    take(late.leaseEndMillis());
    assertThat(cutOffAndWaitForStartElsewhere()).isLessThan(13_000 + MAX_LEASE_MILLIS);
  }

  /** Guards against a wait for late calls to an executor that is gone. */
  @Test
  void executorThatIsNotAnnouncedAnyMoreIsNotWaitedForBecauseOfLateCalls() {
    leaveStartUnanswered();
    now += 4_000;
    renew();
    loseRenewal();
    owner().executorUnlisted(REBOOTED);
    addOther();
    assertThat(waitForStartElsewhere()).isLessThan(6_200);
  }

  /** Guards against a start that the later boot carries out unnoticed before it is cut off. */
  @Test
  void answerOfTheLaterBootToAStartShowsItsLeaseBeforeTheRebootIsKnown() {
    beginWithExecutorThatIsUpForLong();
    submit();
    StartRequest start = sendStart();
    reboot();
    now += 100;
    carryOut(start);
    answered(start, new CommandResult.Done(clock()));
    cutOffAndWaitForStartElsewhere();
  }

  /** Guards against leases by the clock of the earlier boot, which answers late. */
  @Test
  void lateAnswerOfTheEarlierBootDoesNotSetTheClockOfTheLaterOne() {
    beginWithExecutorThatIsUpForLong();
    submit();
    StartRequest start = sendStart();
    carryOut(start);
    CommandResult late = new CommandResult.Done(clock());
    reboot();
    announceRebooted();
    renew();
    answered(start, late);
    assertThat(owner().leaseRenewalRequest(REBOOTED, true, now).leaseEndMillis())
        .isAtMost(clock() + MAX_LEASE_MILLIS);
  }

  /** Guards against ends of a later boot that are deleted before they were read. */
  @Test
  void endsAreNotAcknowledgedToAnExecutorThatDoesNotAnswer() {
    beginWithExecutor();
    submit();
    start();
    endRun();
    renew();
    store();
    owner().endsStored(List.of(new ReceivedEnds(REBOOTED, boot(), 1)), now);
    LeaseRenewalRequest unanswered = owner().leaseRenewalRequest(REBOOTED, true, now);
    assertThat(unanswered.acknowledgedEnd()).isEqualTo(1);
    LeaseRenewalResult none = new LeaseRenewalResult.Unknown("no answer");
    owner().leaseRenewalAnswered(REBOOTED, unanswered, now, none, now);
    LeaseRenewalRequest next = owner().leaseRenewalRequest(REBOOTED, true, now);
    assertThat(next.acknowledgedEnd()).isEqualTo(0);
    owner().leaseRenewalAnswered(REBOOTED, next, now, report(), now);
    assertThat(owner().leaseRenewalRequest(REBOOTED, true, now).acknowledgedEnd()).isEqualTo(1);
  }

  /** Guards against a wait for the longest lease where no call can have reached a later boot. */
  @Test
  void taskOfAnExecutorThatIsCutOffStartsElsewhereAfterItsLease() {
    beginWithExecutorThatIsUpForLong();
    submit();
    start();
    assertThat(cutOffAndWaitForStartElsewhere()).isLessThan(6_200);
  }

  /** Guards against a wait for runs that a still later boot of the executor does not have. */
  @Test
  void taskOfAnExecutorThatRebootedAgainStartsAtOnce() {
    beginWithExecutorThatIsUpForLong();
    reboot();
    announceRebooted();
    renew();
    submit();
    start();
    now += 1_000;
    reboot();
    now += 500;
    announceRebooted();
    renew();
    assertThat(decide()).hasSize(1);
  }

  /** Guards against runs that stay assigned to a boot that is over, for good. */
  @Test
  void taskStartsAgainThoughTheTimeOfItsExecutorWasSetBackBeforeTheReboot() {
    beginWithExecutorThatIsUpForLong();
    submit();
    start();
    now += 1_000;
    rebootAfterTimeWasSetBack();
    now += 500;
    announceRebooted();
    renew();
    assertThat(decide()).hasSize(1);
  }

  /** Guards against an idle executor that gets no tasks any more. */
  @Test
  void idleExecutorIsAskedForAReportThoughItsTimeWasSetBackBeforeTheReboot() {
    beginWithExecutorThatIsUpForLong();
    rebootAfterTimeWasSetBack();
    now += 500;
    announceRebooted();
    assertThat(owner().executorsToRenew(now)).containsExactly(REBOOTED);
    renew();
    submit();
    start();
  }

  /** Guards against reports of the present boot that are taken for late ones of an earlier boot. */
  @Test
  void lateAnnouncementOfAnEarlierBootDoesNotReplaceThePresentOne() {
    beginWithExecutorThatIsUpForLong();
    reboot();
    announceRebooted();
    renew();
    submit();
    start();
    announce(REBOOTED, boot() - 1);
    renew();
    endRun();
    renew();
    assertThat(decisions().toString()).contains("RUN_ENDED j1.0.0.0#1 DONE");
  }

  /**
   * Guards against a second run beside one on a boot that took a renewal for the boot before, which
   * was given up while the executor was not announced.
   */
  @Test
  void renewalThatIsGivenUpWhileItsExecutorIsNotAnnouncedMayExtendTheLease() {
    beginWithExecutorThatIsUpForLong();
    submit();
    start();
    endRun();
    renew();
    store();
    LeaseRenewalRequest late = owner().leaseRenewalRequest(REBOOTED, true, now);
    assertThat(late.leaseEndMillis()).isGreaterThan(0);
    owner().executorUnlisted(REBOOTED);
    now += 1_600;
    LeaseRenewalResult none = new LeaseRenewalResult.Unknown("no answer");
    owner().leaseRenewalAnswered(REBOOTED, late, now - 1_600, none, now);
    reboot();
    now += 100;
    carryOut(late);
    announceRebooted();
    renew();
    submit();
    start();
    cutOffAndWaitForStartElsewhere();
  }
}
