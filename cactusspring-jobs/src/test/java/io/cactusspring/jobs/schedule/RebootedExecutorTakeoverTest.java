package io.cactusspring.jobs.schedule;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.jobs.ledger.LeaseBounds;
import io.cactusspring.jobs.port.ExecutorClient.CommandResult;
import io.cactusspring.jobs.port.ExecutorClient.StartRequest;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Tests until when a new owner expects tasks on an executor that started again under its id shortly
 * before the last owner ended, and then does not answer.
 */
final class RebootedExecutorTakeoverTest extends RebootedExecutorFixture {
  private static final long USUAL_MILLIS =
      Math.round(SchedulerSettings.builder().build().leaseMillis() / CLOCK_RATE);

  /** Returns the leases of an owner that has ended now, of which a record was stored or not. */
  private InheritedLeases leasesOfEndedOwner(Optional<LeaseBounds> record) {
    Map<String, Long> longLeases = record.map(LeaseBounds::longLeaseMillis).orElse(Map.of());
    return new InheritedLeases(
        now + USUAL_MILLIS,
        Map.of(),
        now,
        USUAL_MILLIS,
        longLeases.keySet().stream()
            .collect(Collectors.toMap(Function.identity(), e -> now + longLeases.get(e))));
  }

  private void startOnLaterBootThatTookAnEarlierStart() {
    beginWithExecutorThatIsUpForLong();
    submit();
    StartRequest start = sendStart();
    reboot();
    now += 100;
    carryOut(start);
    answered(start, new CommandResult.Done(clock()));
  }

  /** Guards against a new owner that does not know of a longer lease that the last one expected. */
  @Test
  void ownerRecordsTheLongerLeaseForALaterOne() {
    startOnLaterBootThatTookAnEarlierStart();
    announceRebooted();
    renew();
    store();
    LeaseBounds record = owner().leaseBounds(now);
    assertThat(record.covers(REBOOTED, owner().longLeaseMillis(REBOOTED, now))).isTrue();
    begin(leasesOfEndedOwner(Optional.of(record)));
    announceRebooted();
    cutOffAndWaitForStartElsewhere();
  }

  /** Guards against a longer lease that is forgotten with the second of two takeovers. */
  @Test
  void laterOwnersRecordTheLongerLeaseAgain() {
    startOnLaterBootThatTookAnEarlierStart();
    announceRebooted();
    renew();
    store();
    LeaseBounds first = owner().leaseBounds(now);
    begin(leasesOfEndedOwner(Optional.of(first)));
    LeaseBounds second = leasesOfEndedOwner(Optional.of(first)).bounds(now);
    assertThat(second.longLeaseMillis()).isEqualTo(first.longLeaseMillis());
    announceRebooted();
    LeaseBounds third = owner().leaseBounds(now);
    assertThat(third.longLeaseMillis()).isEqualTo(first.longLeaseMillis());
  }

  /** Guards against a reboot that the last owner did not notice before it ended. */
  @Test
  void laterBootThanTheLastOwnerHasRecordedMayHoldTheLongerLease() {
    startOnLaterBootThatTookAnEarlierStart();
    begin(leasesOfEndedOwner(Optional.empty()));
    announceRebooted();
    cutOffAndWaitForStartElsewhere();
  }

  /** Guards against a wait for the longest lease after each takeover. */
  @Test
  void bootThatTheLastOwnerHasRecordedHoldsALeaseOfTheUsualLength() {
    beginWithExecutor();
    submit();
    start();
    store();
    LeaseBounds record = owner().leaseBounds(now);
    assertThat(record.longLeaseMillis()).isEmpty();
    begin(leasesOfEndedOwner(Optional.of(record)));
    announceRebooted();
    assertThat(cutOffAndWaitForStartElsewhere()).isAtMost(USUAL_MILLIS + 10);
  }

  /** Guards against a lease whose end lies ahead on a slow clock that was last read long ago. */
  @Test
  void executorThatWasIdleForLongHoldsALeaseOfTheUsualLength() {
    beginWithExecutor();
    for (long idleMillis : List.of(20_000, 60_000, 140_000)) {
      now += idleMillis;
      renew();
      assertThat(leaseMillis()).isAtMost(USUAL_MILLIS);
      assertThat(leaseMillis()).isAtLeast(USUAL_MILLIS / 2);
    }
  }

  /** As above, of a clock that was last read so long ago that the lease would have no length. */
  @Test
  void longerLeaseOfAnExecutorThatWasIdleForMinutesIsRecorded() {
    beginWithExecutor();
    now += 600_000;
    renew();
    assertThat(leaseMillis()).isGreaterThan(USUAL_MILLIS);
    assertThat(owner().longLeaseMillis(REBOOTED, now)).isAtLeast(leaseMillis());
  }

  /** Guards against a record of a size that grows with the executors that are back at once. */
  @Test
  void longerLeasesOfManyExecutorsAreRecordedAsOneBound() {
    begin(InheritedLeases.until(now));
    List<String> executors = IntStream.range(0, 65).mapToObj(i -> "e" + i).toList();
    executors.forEach(e -> announce(e, OTHER_BOOT));
    executors.forEach(e -> report(e, OTHER_BOOT));
    executors.forEach(e -> report(e, OTHER_BOOT));
    executors.stream().limit(64).forEach(e -> announce(e, OTHER_BOOT + 1));
    assertThat(owner().leaseBounds(now).longLeaseMillis()).hasSize(64);
    announce(executors.getLast(), OTHER_BOOT + 1);
    LeaseBounds bounds = owner().leaseBounds(now);
    assertThat(bounds.longLeaseMillis()).isEmpty();
    assertThat(bounds.earlierLeasesMillis()).isAtLeast(MAX_LEASE_MILLIS);
    executors.forEach(e -> assertThat(bounds.covers(e, owner().longLeaseMillis(e, now))).isTrue());
  }
}
