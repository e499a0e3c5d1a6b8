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
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

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

  /** Answers one call after the other, as the service does for each host. */
  private final class OneAtATime implements AdviceService {
    private final double shortMillis;
    private long freeAt;

    OneAtATime(double shortMillis) {
      this.shortMillis = shortMillis;
    }

    @Override
    public Future<Map<String, String>> requestAdvice(
        StepId step, List<String> executors, long timeoutMillis) {
      freeAt = Math.max(freeAt, time.now()) + Math.round(millis(executors));
      Promise<Map<String, String>> answer = Promise.promise();
      time.after(freeAt - time.now(), () -> answer.complete(Map.of()));
      return answer.future();
    }

    private double millis(List<String> executors) {
      return executors.size() == 1 ? shortMillis : LONG_MILLIS;
    }
  }

  private static Action.RequestAdvice call(String... executors) {
    return new Action.RequestAdvice(
        new StepId("job", 0, 0), List.of(executors), new AdviceSettings(600, 6, 2_000));
  }

  /** Makes all the short calls that find a caller, and then a long one if it finds a caller. */
  private void askInTurn(AdviceDispatcher asked, double shortMillis, AtomicInteger[] made) {
    for (int i = 0; i < 4 && asked.reserve(shortMillis); i++) {
      made[0].incrementAndGet();
      asked.requestAdvice(call("x1"));
    }
    if (asked.reserve(LONG_MILLIS)) {
      made[1].incrementAndGet();
      asked.requestAdvice(call("x1", "x2"));
    }
  }

  private int[] callsMadeInTenSeconds(AdviceDispatcher asked) {
    return callsMadeInTenSeconds(asked, SHORT_MILLIS);
  }

  private int[] callsMadeInTenSeconds(AdviceDispatcher asked, double shortMillis) {
    AtomicInteger[] made = {new AtomicInteger(), new AtomicInteger()};
    for (int i = 0; i < 500; i++) {
      askInTurn(asked, shortMillis, made);
      time.run(20);
    }
    return new int[] {made[0].get(), made[1].get()};
  }

  /**
   * Guards against accepted jobs that need long calls and wait for as long as quick jobs arrive,
   * because no caller is ever idle.
   */
  @Test
  void longCallsAreMadeWhileShortCallsKeepTheOnlyCallerBusy() {
    int[] made =
        callsMadeInTenSeconds(new AdviceDispatcher(new OneAtATime(SHORT_MILLIS), time.timers()));
    assertThat(made[1]).isAtLeast(5);
    assertThat(made[0]).isAtLeast(100);
  }

  /** As above, with other hosts that are all busy. */
  @Test
  void longCallsAreMadeWhileShortCallsKeepAllCallersBusy() {
    AdviceDispatcher busy = new AdviceDispatcher(new OneAtATime(SHORT_MILLIS), time.timers());
    IntStream.range(0, 2).forEach(i -> busy.addHost("host" + i, new OneAtATime(SHORT_MILLIS)));
    assertThat(callsMadeInTenSeconds(busy)[1]).isAtLeast(5);
  }

  /**
   * Guards against long calls that wait because one caller at a time is kept free for them, and
   * none again for as long as its last one took, although two hosts make short calls only.
   */
  @Test
  void longCallsUseTheirCallersAllTheTimeWhileShortCallsKeepAllBusy() {
    AdviceDispatcher busy = new AdviceDispatcher(new OneAtATime(SHORT_MILLIS), time.timers());
    IntStream.range(0, 5).forEach(i -> busy.addHost("host" + i, new OneAtATime(SHORT_MILLIS)));
    AtomicInteger[] made = {new AtomicInteger(), new AtomicInteger()};
    for (int i = 0; i < 300; i++) {
      for (int k = 0; k < 24 && busy.reserve(SHORT_MILLIS); k++) {
        made[0].incrementAndGet();
        busy.requestAdvice(call("x1"));
      }
      while (busy.reserve(LONG_MILLIS)) {
        made[1].incrementAndGet();
        busy.requestAdvice(call("x1", "x2"));
      }
      time.run(33);
    }
    assertThat(made[1].get()).isAtLeast((int) (0.75 * 4 * 10_000 / LONG_MILLIS));
    assertThat(made[0].get()).isAtLeast((int) (0.75 * 2 * 10_000 / SHORT_MILLIS));
  }

  /** Guards against callers that seem to make long calls because of the short ones they have. */
  @ParameterizedTest
  @ValueSource(doubles = {40, 80, 100, 140})
  void longCallsAreMadeBesideShortCallsOfAnyDuration(double shortMillis) {
    AdviceDispatcher busy = new AdviceDispatcher(new OneAtATime(shortMillis), time.timers());
    IntStream.range(0, 2).forEach(i -> busy.addHost("host" + i, new OneAtATime(shortMillis)));
    assertThat(callsMadeInTenSeconds(busy, shortMillis)[1]).isAtLeast(5);
  }

  /** The service is slow, or the hosts have just started. */
  @Test
  void longCallsAreMadeWhileShortCallsTakeTenTimesAsLongAsExpected() {
    AdviceService slow = new OneAtATime(10 * SHORT_MILLIS);
    int[] made = callsMadeInTenSeconds(new AdviceDispatcher(slow, time.timers()));
    assertThat(made[1]).isAtLeast(3);
    assertThat(made[0]).isAtLeast(10);
  }

  /**
   * Guards against a hold that ends before the owner's next round, in which short calls come first.
   */
  @Test
  void longCallsAreMadeIfRoundsAreHalfASecondApart() {
    AdviceDispatcher asked = new AdviceDispatcher(new OneAtATime(SHORT_MILLIS), time.timers());
    AtomicInteger[] made = {new AtomicInteger(), new AtomicInteger()};
    for (int i = 0; i < 40; i++) {
      askInTurn(asked, SHORT_MILLIS, made);
      time.run(500);
    }
    assertThat(made[1].get()).isAtLeast(5);
  }

  @Test
  void callerIsNotHeldForALongCallThatIsNotAskedForAnyMore() {
    reserveCalls(SHORT_MILLIS, 1);
    assertThat(reserveCalls(LONG_MILLIS, 1)).isEqualTo(0);
    assertThat(reserveCalls(SHORT_MILLIS, 1)).isEqualTo(0);
    time.run(1_000);
    assertThat(reserveCalls(SHORT_MILLIS, 1)).isEqualTo(1);
  }

  @Test
  void singleOtherHostMakesLongCalls() {
    setPeers(1);
    assertThat(reserveCalls(LONG_MILLIS, 3)).isEqualTo(1);
    assertThat(reserveCalls(SHORT_MILLIS, 4)).isEqualTo(4);
  }
}
