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

/** Which entry host makes which call for advice. */
final class AdviceDeskTest {
  private static final double LONG_MILLIS = 700;
  private static final double SHORT_MILLIS = 30;

  private final List<String> called = new ArrayList<>();
  private final AdviceDesk desk =
      new AdviceDesk(
          (step, executors, timeout) -> Future.failedFuture("not used"),
          (address, step, executors, timeout) -> {
            called.add(address);
            return Promise.<Map<String, String>>promise().future();
          },
          new VirtualTime().timers(),
          "self");

  private void peers(int number) {
    desk.hosts(
        IntStream.range(0, number)
            .mapToObj(i -> new PeerRecord("host" + i, "1", "host" + i + ":70", 750))
            .toList());
  }

  private int reserved(double callMillis, int tries) {
    return (int) IntStream.range(0, tries).filter(i -> desk.reserve(callMillis)).count();
  }

  /** Pattern: a burst of long jobs, and quick ones that come meanwhile. */
  @Test
  void longCallsLeaveTwoHostsAndTheOwnerToShortCalls() {
    peers(6);
    assertThat(reserved(LONG_MILLIS, 10)).isEqualTo(4);
    assertThat(reserved(SHORT_MILLIS, 12)).isEqualTo(12);
  }

  /** Pattern: a zone is lost, and most hosts with it. */
  @Test
  void longCallsGetTheFewHostsThatAreLeft() {
    peers(2);
    assertThat(reserved(LONG_MILLIS, 3)).isEqualTo(2);
    assertThat(reserved(SHORT_MILLIS, 4)).isEqualTo(4);
  }

  @Test
  void longCallIsMadeByTheOwnerIfItIsAlone() {
    assertThat(reserved(LONG_MILLIS, 3)).isEqualTo(1);
  }

  @Test
  void oneOtherHostTakesALongCall() {
    peers(1);
    assertThat(reserved(LONG_MILLIS, 3)).isEqualTo(1);
    assertThat(reserved(SHORT_MILLIS, 4)).isEqualTo(4);
  }
}
