package io.cactusspring.jobs.schedule;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalRequest;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalResult;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests an executor whose later boot has a lower time of day, because its clock was set back in
 * between. It starts again under its id, and has none of the runs and ends of the earlier boot.
 */
final class BootOrderTest extends RebootedExecutorFixture {
  private static final long SET_BACK_MILLIS = 10;

  /** The executor answers within this time. */
  private static final long ROUND_TRIP_MILLIS = 1;

  private long laterBoot() {
    return boot() - SET_BACK_MILLIS;
  }

  private LeaseRenewalResult reportOfLaterBoot() {
    return new LeaseRenewalResult.Report(clock(), laterBoot(), List.of(), List.of());
  }

  private void renewLaterBoot() {
    LeaseRenewalRequest request = owner().leaseRenewalRequest(REBOOTED, true, now);
    owner().leaseRenewalAnswered(REBOOTED, request, now, reportOfLaterBoot(), now);
  }

  private boolean startsAgainWithin(long millis) {
    for (long until = now + millis; now < until; now += 100) {
      if (owner().executorsToRenew(now).contains(REBOOTED)) {
        renewLaterBoot();
      }
      if (!decide().isEmpty()) {
        return true;
      }
    }
    return false;
  }

  /** Counts the renewals of a second, each of which is answered after a round trip. */
  private int renewalsOfASecond() {
    int sent = 0;
    for (long until = now + 1_000; now < until; now += ROUND_TRIP_MILLIS) {
      for (String id : owner().executorsToRenew(now)) {
        LeaseRenewalRequest request = owner().leaseRenewalRequest(id, true, now);
        owner().leaseRenewalAnswered(id, request, now, reportOfLaterBoot(), now);
        sent++;
      }
    }
    return sent;
  }

  /** Guards against a task that waits for ever for a run that its executor does not have. */
  @Test
  void runOfTheEarlierBootIsLostWhenTheClockOfTheExecutorWasSetBack() {
    beginWithExecutorThatIsUpForLong();
    submit();
    start();
    addOther();
    reboot();
    announce(REBOOTED, laterBoot());
    assertThat(startsAgainWithin(60_000)).isTrue();
  }

  /** Guards against a task that waits for ever, also under later owners. */
  @Test
  void laterOwnerLosesTheRunOfTheEarlierBootWhenTheClockOfTheExecutorWasSetBack() {
    beginWithExecutorThatIsUpForLong();
    submit();
    start();
    store();
    reboot();
    begin(InheritedLeases.until(now + 6_200));
    announce(REBOOTED, laterBoot());
    addOther();
    assertThat(startsAgainWithin(60_000)).isTrue();
  }

  /** Guards against renewals without a pause to an executor that was silent. */
  @Test
  void silentExecutorWhoseClockWasSetBackIsNotCalledWithoutAPause() {
    beginWithExecutorThatIsUpForLong();
    loseRenewal();
    reboot();
    announce(REBOOTED, laterBoot());
    now += 250;
    assertThat(renewalsOfASecond()).isAtMost(20);
  }

  /** Guards against renewals without a pause to an executor to which ends are acknowledged. */
  @Test
  void executorWhoseClockWasSetBackAndThatHasEndsIsNotCalledWithoutAPause() {
    beginWithExecutorThatIsUpForLong();
    submit();
    start();
    endRun();
    renew();
    now += 300;
    store();
    reboot();
    assertThat(renewalsOfASecond()).isAtMost(20);
  }

  /** Guards against an executor that gets no work again until the owner changes. */
  @Test
  void executorWhoseClockWasSetBackGetsTasks() {
    beginWithExecutorThatIsUpForLong();
    reboot();
    announce(REBOOTED, laterBoot());
    now += 250;
    renewLaterBoot();
    submit();
    assertThat(decide()).hasSize(1);
  }

  /**
   * Guards against a run whose end is never read, after another writer's entry under the key of its
   * executor named a start in the future for a moment.
   */
  @Test
  void endIsReadAfterAnEntryThatNamedAStartInTheFutureWasReplaced() {
    beginWithExecutorThatIsUpForLong();
    submit();
    start();
    announce(REBOOTED, boot() + 1_000);
    announceRebooted();
    endRun();
    for (int i = 0; i < 10; i++) {
      now += 1_000;
      renew();
    }
    assertThat(decisions().toString()).contains("RUN_ENDED j1.0.0.0#1 DONE");
  }

  /**
   * Guards against ends that are never acknowledged: the entry of an earlier boot is not replaced
   * yet, and a later owner knows the present one from the runs that were stored.
   */
  @Test
  void endsAreAcknowledgedThoughAnEarlierBootIsAnnounced() {
    beginWithExecutorThatIsUpForLong();
    submit();
    start();
    store();
    begin(InheritedLeases.until(now + 6_200));
    announce(REBOOTED, laterBoot());
    endRun();
    assertThat(isAcknowledgedWithin(5_000)).isTrue();
  }

  /** Lets the executor answer renewals and the store take what they report, after some time. */
  private boolean isAcknowledgedWithin(long millis) {
    long storeMillis = 10;
    for (long until = now + millis; now < until; now += ROUND_TRIP_MILLIS) {
      for (String id : owner().executorsToRenew(now)) {
        LeaseRenewalRequest request = owner().leaseRenewalRequest(id, true, now);
        if (request.acknowledgedEnd() > 0) {
          return true;
        }
        now += ROUND_TRIP_MILLIS;
        owner().leaseRenewalAnswered(id, request, now - ROUND_TRIP_MILLIS, carryOut(request), now);
        now += storeMillis;
        store();
      }
    }
    return false;
  }
}
