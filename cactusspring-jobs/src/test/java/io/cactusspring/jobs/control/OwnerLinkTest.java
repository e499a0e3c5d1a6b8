package io.cactusspring.jobs.control;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.jobs.ledger.OwnerRecord;
import io.cactusspring.jobs.link.PeerMessage;
import io.cactusspring.jobs.link.PeerMessage.OwnerPhase;
import io.cactusspring.jobs.model.HostIdentity;
import io.cactusspring.jobs.port.PeerLink;
import io.cactusspring.jobs.port.PeerNetwork;
import io.cactusspring.jobs.port.PeerNetwork.NothingListensException;
import io.cactusspring.jobs.simulation.TestLog;
import io.cactusspring.jobs.simulation.VirtualTime;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.function.Function;
import org.junit.jupiter.api.Test;

/** Tests what a host believes of the owner while it changes links. */
final class OwnerLinkTest {
  private final List<PeerLink.Handler> opened = new ArrayList<>();
  private final VirtualTime time = new VirtualTime();
  private boolean refused;

  private final PeerNetwork network =
      new PeerNetwork() {
        @Override
        public void onAccept(Function<PeerLink, PeerLink.Handler> handler) {}

        @Override
        public Future<PeerLink> connect(
            String address, Function<PeerLink, PeerLink.Handler> handler) {
          if (refused) {
            return Future.failedFuture(new NothingListensException(address));
          }
          PeerLink link = new SilentLink();
          opened.add(handler.apply(link));
          return Future.succeededFuture(link);
        }
      };

  private final OwnerLink link =
      new OwnerLink(
          network,
          time.timers(),
          new TestLog().log(),
          new HostIdentity("c", "c#1", "c:70", 750),
          (step, executors, timeout) -> Future.failedFuture("not used"),
          new Random(1),
          () -> {});

  private static final class SilentLink implements PeerLink {
    @Override
    public boolean send(PeerMessage message) {
      return true;
    }

    @Override
    public void close() {}
  }

  private static PeerMessage status(String incarnation, long term) {
    return new PeerMessage.OwnerStatus(
        incarnation, term, OwnerPhase.ACTIVE, 0, 250, OptionalInt.of(0), Map.of());
  }

  /**
   * Guards against a new owner that is believed to have ended, and its leases with it, because a
   * status of the previous owner arrives late.
   */
  @Test
  void lateStatusOfThePreviousOwnerSaysNothingOfTheNewOne() {
    link.follow(new OwnerRecord(1, "a", "a#1", "a:70", 0, false));
    link.follow(new OwnerRecord(2, "b", "b#1", "b:70", 0, false));
    opened.get(0).received(status("a#1", 1));
    assertThat(link.vacantSince()).isEqualTo(Long.MAX_VALUE);
    assertThat(link.endedAt()).isEqualTo(Long.MAX_VALUE);
  }

  /** Guards against a wait for leases that a killed owner might still grant. */
  @Test
  void addressAtWhichNothingListensMeansThatTheOwnerHasEnded() {
    refused = true;
    link.follow(new OwnerRecord(1, "a", "a#1", "a:70", 0, false));
    assertThat(link.endedAt()).isLessThan(Long.MAX_VALUE);
  }

  @Test
  void linkThatWasStoppedIsNotOpenedAgain() {
    refused = true;
    link.follow(new OwnerRecord(1, "a", "a#1", "a:70", 0, false));
    link.stop();
    refused = false;
    time.run(10_000);
    assertThat(opened).isEmpty();
  }

  @Test
  void statusOfAnotherProcessAtTheAddressMeansThatTheOwnerHasEnded() {
    link.follow(new OwnerRecord(1, "a", "a#1", "a:70", 0, false));
    opened.get(0).received(status("a#2", 0));
    assertThat(link.endedAt()).isLessThan(Long.MAX_VALUE);
  }
}
