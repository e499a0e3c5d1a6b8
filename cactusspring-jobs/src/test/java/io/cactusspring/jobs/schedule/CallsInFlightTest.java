package io.cactusspring.jobs.schedule;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.jobs.port.ExecutorClient.CommandResult;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalRequest;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalResult;
import io.cactusspring.jobs.port.ExecutorClient.Refusal;
import io.cactusspring.jobs.port.ExecutorClient.StartRequest;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests calls that are not given up yet, or answers that are processed late, when an executor
 * starts again under its id.
 */
final class CallsInFlightTest extends RebootedExecutorFixture {
  private static final LeaseRenewalResult NO_ANSWER = new LeaseRenewalResult.Unknown("no answer");
  private static final CommandResult NO_COMMAND_ANSWER = new CommandResult.Unknown("no answer");

  /** Lets a run end on the executor, and the owner read its end and store it. */
  private void storeEndOfFirstJob() {
    beginWithExecutorThatIsUpForLong();
    submit();
    start();
    endRun();
    renew();
    store();
  }

  private void assertSecondJobIsNotStartedAgain() {
    now += 50;
    renew();
    now += 50;
    renew();
    assertThat(decide().stream().map(a -> a.run().number()).toList()).doesNotContain(2);
    assertThat(decisions().toString()).doesNotContain("RUN_LOST");
  }

  /**
   * Guards against a second run of a task whose end was deleted unread: the later boot takes a
   * start, and then the acknowledgement that was sent before it and is not given up yet.
   */
  @Test
  void acknowledgementThatIsNotGivenUpYetHasNoEffectOnALaterBootThatTookAStart() {
    storeEndOfFirstJob();
    LeaseRenewalRequest inFlight = owner().leaseRenewalRequest(REBOOTED, true, now);
    assertThat(inFlight.acknowledgedEnd()).isEqualTo(1);
    final long sentAt = now;
    now += 20;
    reboot();
    now += 480;
    submit();
    List<Action.Start> starts = decide();
    store();
    for (Action.Start decided : starts) {
      StartRequest start = owner().startRequest(REBOOTED, decided.run(), now).orElseThrow();
      carryOut(start);
      answered(start, new CommandResult.Done(clock()));
      now += 400;
      endRun();
      now += 100;
      // Executors refuse lower tokens than that of the start.
      if (inFlight.fencingToken() >= start.fencingToken()) {
        carryOut(inFlight);
      }
    }
    now = sentAt + 1_600;
    owner().leaseRenewalAnswered(REBOOTED, inFlight, sentAt, NO_ANSWER, now);
    now += 250;
    assertSecondJobIsNotStartedAgain();
  }

  /**
   * Guards against a second run of a task whose end was deleted unread: the owner stands still for
   * a second before it processes a report, and acknowledges ends to a boot that is over by then.
   */
  @Test
  void reportThatIsProcessedLateDoesNotConfirmTheBoot() {
    storeEndOfFirstJob();
    now += 300;
    LeaseRenewalRequest request = owner().leaseRenewalRequest(REBOOTED, true, now);
    assertThat(request.acknowledgedEnd()).isEqualTo(0);
    final long sentAt = now;
    LeaseRenewalResult late = carryOut(request);
    submit();
    StartRequest start = sendStart();
    now += 10;
    reboot();
    now += 400;
    carryOut(start);
    now += 300;
    endRun();
    now = sentAt + 1_000;
    owner().leaseRenewalAnswered(REBOOTED, request, sentAt, late, now);
    answered(start, new CommandResult.Done(clock()));
    renew();
    assertSecondJobIsNotStartedAgain();
  }

  /**
   * Guards against a second run of a task whose end was deleted unread: a renewal is given up while
   * its executor, which has no runs, is not announced, and is carried out after it is again.
   */
  @Test
  void renewalThatIsGivenUpWhileItsExecutorIsNotAnnouncedHasNoEffectLater() {
    storeEndOfFirstJob();
    LeaseRenewalRequest late = owner().leaseRenewalRequest(REBOOTED, true, now);
    assertThat(late.acknowledgedEnd()).isEqualTo(1);
    owner().executorUnlisted(REBOOTED);
    now += 600;
    owner().leaseRenewalAnswered(REBOOTED, late, now - 600, NO_ANSWER, now);
    reboot();
    now += 1_000;
    announceRebooted();
    renew();
    submit();
    start();
    endRun();
    carryOut(late);
    assertSecondJobIsNotStartedAgain();
  }

  /**
   * Guards against a late call that a later boot carries out because no newer one has reached it: a
   * renewal that was sent to the earlier boot is waited for.
   */
  @Test
  void laterBootIsCalledSoonThoughACallToTheEarlierOneIsInFlight() {
    beginWithExecutorThatIsUpForLong();
    owner().leaseRenewalRequest(REBOOTED, true, now);
    reboot();
    announceRebooted();
    now += 250;
    assertThat(owner().executorsToRenew(now)).containsExactly(REBOOTED);
  }

  /** Guards against a later boot that gets no work because of what the earlier one answered. */
  @Test
  void refusalOfTheEarlierBootDoesNotExcludeTheLaterOne() {
    beginWithExecutorThatIsUpForLong();
    submit();
    StartRequest start = sendStart();
    now += 10;
    reboot();
    now += 400;
    announceRebooted();
    renew();
    answered(start, new CommandResult.Refused(Refusal.UNHEALTHY));
    now += 100;
    renew();
    assertThat(decide()).hasSize(1);
  }

  /**
   * Guards against ends that are never acknowledged: the executor was not announced for a moment,
   * and an answer of its earlier boot counts for the later one.
   */
  @Test
  void answerOfTheEarlierBootDoesNotCountAsAcknowledgementOfTheLaterOnesEnds() {
    storeEndOfFirstJob();
    LeaseRenewalRequest renewal = owner().leaseRenewalRequest(REBOOTED, true, now);
    LeaseRenewalResult answer = carryOut(renewal);
    final long sentAt = now;
    owner().executorUnlisted(REBOOTED);
    reboot();
    now += 500;
    announceRebooted();
    LeaseRenewalRequest next = owner().leaseRenewalRequest(REBOOTED, true, now);
    owner().leaseRenewalAnswered(REBOOTED, renewal, sentAt, answer, now);
    owner().leaseRenewalAnswered(REBOOTED, next, now, carryOut(next), now);
    submit();
    start();
    endRun();
    renew();
    store();
    assertThat(owner().leaseRenewalRequest(REBOOTED, true, now).acknowledgedEnd()).isEqualTo(1);
  }

  /**
   * Guards against late calls after an executor has refused connections for five minutes, in which
   * the store was unavailable and kept its announcement. No such call was sent.
   */
  @Test
  void laterBootGetsHigherTokensAfterMinutesOfRefusedConnections() {
    beginWithExecutorThatIsUpForLong();
    loseRenewal();
    now += 250;
    LeaseRenewalResult refused = new LeaseRenewalResult.Unknown("connection refused");
    for (long until = now + 300_000; now < until; now += 250) {
      assertThat(owner().executorsToRenew(now)).containsExactly(REBOOTED);
      LeaseRenewalRequest request = owner().leaseRenewalRequest(REBOOTED, true, now);
      owner().leaseRenewalAnswered(REBOOTED, request, now, refused, now);
    }
    final long before = owner().fencingToken(REBOOTED);
    reboot();
    announceRebooted();
    assertThat(owner().fencingToken(REBOOTED)).isGreaterThan(before);
  }

  /** Guards against renewals without a pause while the answer to a start is waited for. */
  @Test
  void executorWithEndsIsNotCalledWithoutAPauseWhileAStartIsInFlight() {
    storeEndOfFirstJob();
    submit();
    sendStart();
    int renewals = 0;
    for (long until = now + 500; now < until; now++) {
      for (String id : owner().executorsToRenew(now)) {
        LeaseRenewalRequest request = owner().leaseRenewalRequest(id, true, now);
        assertThat(request.acknowledgedEnd()).isEqualTo(0);
        owner().leaseRenewalAnswered(id, request, now, carryOut(request), now);
        renewals++;
      }
    }
    assertThat(renewals).isAtMost(30);
  }

  /**
   * Guards against a second run of a task whose end was deleted unread: the executor is not
   * announced for a moment while an acknowledgement is in flight, which its later boot takes after
   * a start.
   */
  @Test
  void acknowledgementInFlightHasNoEffectAfterItsExecutorWasNotAnnounced() {
    storeEndOfFirstJob();
    LeaseRenewalRequest inFlight = owner().leaseRenewalRequest(REBOOTED, true, now);
    assertThat(inFlight.acknowledgedEnd()).isEqualTo(1);
    final long sentAt = now;
    owner().executorUnlisted(REBOOTED);
    reboot();
    now += 500;
    announceRebooted();
    renew();
    submit();
    start();
    now += 400;
    endRun();
    carryOut(inFlight);
    now = sentAt + 1_600;
    owner().leaseRenewalAnswered(REBOOTED, inFlight, sentAt, NO_ANSWER, now);
    assertSecondJobIsNotStartedAgain();
  }

  /**
   * Guards against a second run of a task whose end was deleted unread: the first copy of a start
   * was carried out late, and a later boot takes the second one, which is in flight, and then an
   * acknowledgement.
   */
  @Test
  void acknowledgementHasNoEffectOnALaterBootThatTookTheSecondCopyOfAStart() {
    beginWithExecutorThatIsUpForLong();
    submit();
    start();
    endRun();
    renew();
    submit();
    StartRequest first = sendStart();
    now += 500;
    answered(first, NO_COMMAND_ANSWER);
    now += 250;
    StartRequest second = sendStart();
    carryOut(first);
    renew();
    LeaseRenewalRequest inFlight = owner().leaseRenewalRequest(REBOOTED, true, now);
    final long sentAt = now;
    reboot();
    now += 400;
    carryOut(second);
    now += 50;
    endRun();
    LeaseRenewalResult answer = carryOut(inFlight);
    answered(second, new CommandResult.Done(clock()));
    owner().leaseRenewalAnswered(REBOOTED, inFlight, sentAt, answer, now);
    decide();
    stopAnswered(second);
    assertSecondJobIsNotStartedAgain();
  }
}
