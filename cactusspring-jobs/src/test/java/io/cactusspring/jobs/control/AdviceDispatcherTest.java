package io.cactusspring.jobs.control;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.jobs.ledger.PeerRecord;
import io.cactusspring.jobs.simulation.VirtualTime;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests the distribution of advice calls over the entry hosts. */
final class AdviceDispatcherTest {
  private static final double LONG_MILLIS = 700;
  private static final double SHORT_MILLIS = 30;

  private final List<String> called = new ArrayList<>();
  private final AdviceDispatcher dispatcher =
      new AdviceDispatcher(
          (step, executors, timeout) -> Future.failedFuture("not used"),
          (address, step, executors, timeout) -> {
            called.add(address);
            return Promise.<Map<String, String>>promise().future();
          },
          new VirtualTime().timers(),
          "self");

  private void setPeers(int number) {
    dispatcher.updateHosts(
        IntStream.range(0, number)
            .mapToObj(i -> new PeerRecord("host" + i, "1", "host" + i + ":70", 750))
            .toList());
  }

  private int reserveCalls(double callMillis, int tries) {
    return (int) IntStream.range(0, tries).filter(i -> dispatcher.reserve(callMillis)).count();
  }

  /** Quick jobs arrive during a burst of long jobs. */
  @Test
  void longCallsLeaveTwoHostsAndTheOwnerFreeForShortCalls() {
    setPeers(6);
    assertThat(reserveCalls(LONG_MILLIS, 10)).isEqualTo(4);
    assertThat(reserveCalls(SHORT_MILLIS, 12)).isEqualTo(12);
  }

  /** An availability zone fails, and most hosts with it. */
  @Test
  void longCallsUseAllHostsWhileFewAreAvailable() {
    setPeers(2);
    assertThat(reserveCalls(LONG_MILLIS, 3)).isEqualTo(2);
    assertThat(reserveCalls(SHORT_MILLIS, 4)).isEqualTo(4);
  }

  @Test
  void ownerMakesLongCallsIfNoOtherHostIsAvailable() {
    assertThat(reserveCalls(LONG_MILLIS, 3)).isEqualTo(1);
  }

  @Test
  void singleOtherHostMakesLongCalls() {
    setPeers(1);
    assertThat(reserveCalls(LONG_MILLIS, 3)).isEqualTo(1);
    assertThat(reserveCalls(SHORT_MILLIS, 4)).isEqualTo(4);
  }
}
