package io.cactusspring.jobs.control;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.jobs.model.AdviceSettings;
import io.cactusspring.jobs.model.StepId;
import io.cactusspring.jobs.port.AdviceService;
import io.cactusspring.jobs.schedule.Action;
import io.cactusspring.jobs.schedule.AdviceSlots;
import io.cactusspring.jobs.simulation.VirtualTime;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests the distribution of advice calls over the entry hosts. */
final class AdviceDispatcherTest {
  private static final double LONG_MILLIS = 700;
  private static final double SHORT_MILLIS = 30;
  private static final Action.RequestAdvice CALL =
      new Action.RequestAdvice(
          new StepId("job", 0, 0), List.of("x1"), new AdviceSettings(600, 6, 2_000));

  private final VirtualTime time = new VirtualTime();
  private final AdviceDispatcher dispatcher =
      new AdviceDispatcher(
          (step, executors, timeout) -> Future.failedFuture("no answer"), time.timers());

  private final AdviceService peer =
      (step, executors, timeout) -> Promise.<Map<String, String>>promise().future();

  private void setPeers(int number) {
    IntStream.range(0, number).forEach(i -> dispatcher.addHost("host" + i, peer));
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
  void hostThatCannotBeReachedMakesNoCalls() {
    setPeers(2);
    dispatcher.removeHost("host0", peer);
    assertThat(reserveCalls(LONG_MILLIS, 3)).isEqualTo(1);
  }

  /** Guards against advice lines that do not tell a lack of callers from denied tickets. */
  @Test
  void usageNamesTheHostsThatCanBeAskedAndTheCallsInProgress() {
    setPeers(1);
    dispatcher.addHost("failing", (step, executors, timeout) -> Future.failedFuture("no answer"));
    assertThat(reserveCalls(LONG_MILLIS, 2)).isEqualTo(2);
    assertThat(dispatcher.usage()).isEqualTo(new AdviceSlots.Usage(3, 3, 2));
    dispatcher.requestAdvice(CALL);
    dispatcher.requestAdvice(CALL);
    assertThat(dispatcher.usage()).isEqualTo(new AdviceSlots.Usage(2, 3, 1));
  }

  /** Guards against hosts that stay unused for many seconds after an outage of the service. */
  @Test
  void hostsMakeCallsAgainTwoSecondsAfterAnOutageOfTheAdviceService() {
    AdviceService failing = (step, executors, timeout) -> Future.failedFuture("unavailable");
    IntStream.range(0, 8).forEach(i -> dispatcher.addHost("host" + i, failing));
    for (int i = 0; i < 80; i++) {
      for (int k = 0; k < 8 && dispatcher.reserve(LONG_MILLIS); k++) {
        dispatcher.requestAdvice(CALL);
      }
      time.run(100);
    }
    time.run(2_000);
    assertThat(reserveCalls(LONG_MILLIS, 10)).isEqualTo(6);
  }

  @Test
  void singleOtherHostMakesLongCalls() {
    setPeers(1);
    assertThat(reserveCalls(LONG_MILLIS, 3)).isEqualTo(1);
    assertThat(reserveCalls(SHORT_MILLIS, 4)).isEqualTo(4);
  }
}
