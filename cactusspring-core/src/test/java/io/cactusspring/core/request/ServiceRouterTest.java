package io.cactusspring.core.request;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.core.model.AvailabilityZone;
import io.cactusspring.core.model.EndpointInfo;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Example;

class ServiceRouterTest {
  private static final long MILLI = 1_000_000;

  private final TeamLimiter limiter = new TeamLimiter(t -> 1_000);
  private final ServiceRouter router =
      new ServiceRouter(
          RequestSettings.builder().spillAfterMillis(2).build(),
          RequestRules.standard(),
          limiter,
          new SplittableRandom(1),
          e -> 0);
  private long tickets;

  @Example
  void endpointsOfOwnZoneArePreferred() {
    router.update(List.of(share("far", false, 8), share("near", true, 8)), 0);
    for (int i = 0; i < 8; i++) {
      assertThat(sendOf(offer(0, 100)).endpoint().name()).isEqualTo("near");
    }
  }

  @Example
  void requestSpillsToAnotherZoneAfterSpillDelay() {
    router.update(List.of(share("far", false, 8), share("near", true, 1)), 0);
    assertThat(sendOf(offer(0, 100)).endpoint().name()).isEqualTo("near");
    assertThat(offer(0, 100)).isEmpty();
    assertThat(sendOf(router.tick(5 * MILLI)).endpoint().name()).isEqualTo("far");
  }

  @Example
  void zoneWithoutEndpointsSpillsAtOnce() {
    router.update(List.of(share("far", false, 8)), 0);
    assertThat(sendOf(offer(0, 100)).endpoint().name()).isEqualTo("far");
  }

  @Example
  void requestThatCannotMeetItsDeadlineIsRefusedAtOnce() {
    router.update(List.of(share("near", true, 1)), 0);
    RouterAction.Send first = sendOf(offer(0, 1_000));
    router.attemptEnded(first.ticket(), 1, new AttemptOutcome.Answered(), 100 * MILLI);
    offer(100, 1_000);
    offer(100, 1_000);
    RouterAction.Refuse refusal = refusalOf(offer(100, 150));
    assertThat(refusal.kind()).isEqualTo(RouterAction.RefusalKind.DEADLINE);
    assertThat(refusal.executionStatus()).isEqualTo(ExecutionStatus.NO);
    assertThat(refusal.retryAfterMillis()).isGreaterThan(100);
  }

  @Example
  void requestThatWaitedTooLongIsRefusedAsNotRun() {
    router.update(List.of(share("near", true, 2)), 0);
    RouterAction.Send first = sendOf(offer(0, 1_000));
    router.attemptEnded(first.ticket(), 1, new AttemptOutcome.Answered(), 100 * MILLI);
    RouterAction.Send running = sendOf(offer(100, 1_000));
    offer(100, 1_000);
    assertThat(offer(100, 220)).isEmpty();
    List<RouterAction> actions =
        router.attemptEnded(running.ticket(), 1, new AttemptOutcome.Answered(), 290 * MILLI);
    RouterAction.Refuse refusal = (RouterAction.Refuse) actions.get(1);
    assertThat(refusal.executionStatus()).isEqualTo(ExecutionStatus.NO);
    assertThat(refusal.kind()).isEqualTo(RouterAction.RefusalKind.DEADLINE);
  }

  @Example
  void failingEndpointIsSuspended() {
    router.update(List.of(share("bad", true, 8), share("good", true, 8)), 0);
    int toBad = 0;
    for (int i = 0; i < 100; i++) {
      RouterAction.Send s = sendOf(offer(i, 100));
      boolean bad = s.endpoint().name().equals("bad");
      toBad += bad ? 1 : 0;
      AttemptOutcome outcome =
          bad ? new AttemptOutcome.Failed(false) : new AttemptOutcome.Answered();
      router.attemptEnded(s.ticket(), s.attempt(), outcome, i * MILLI + MILLI / 2);
    }
    assertThat(toBad).isAtMost(3);
  }

  @Example
  void retriesStopWhenRetryBudgetIsExhausted() {
    router.update(List.of(share("x", true, 8)), 0);
    int retries = 0;
    for (int i = 0; i < 100; i++) {
      List<RouterAction> all = new ArrayList<>(offer(0, 100));
      RouterAction.Send s = sendOf(all);
      all.addAll(router.attemptEnded(s.ticket(), s.attempt(), new AttemptOutcome.Failed(false), 0));
      retries += (int) all.stream().filter(RouterAction.Retry.class::isInstance).count();
    }
    // 10 from the initial reserve, and 1 for every 10 of the 100 requests.
    assertThat(retries).isAtMost(20);
  }

  @Example
  void endpointIsSharedAmongTheEntryHostsOfItsZone() {
    EndpointShare s = EndpointShare.of(info("x", 8, 60), EndpointShare.Distance.SAME_ZONE, 3, 6);
    assertThat(s.ownSlots()).isEqualTo(2);
    assertThat(s.ownConnections()).isEqualTo(15);
    EndpointShare f = EndpointShare.of(info("x", 8, 60), EndpointShare.Distance.SAME_REGION, 3, 6);
    assertThat(f.ownSlots()).isEqualTo(0);
    assertThat(f.ownConnections()).isEqualTo(2);
    assertThat(3 * s.ownConnections() + 6 * f.ownConnections()).isAtMost(60);
  }

  private List<RouterAction> offer(long atMillis, long deadlineMillis) {
    long ticket = ++tickets;
    long now = atMillis * MILLI;
    long deadline = now + deadlineMillis * MILLI;
    return router.offer(
        new RequestSpec(ticket, "r" + ticket, "counter", 1, true, now, deadline), now);
  }

  private static RouterAction.Send sendOf(List<RouterAction> actions) {
    return (RouterAction.Send)
        actions.stream().filter(RouterAction.Send.class::isInstance).findFirst().orElseThrow();
  }

  private static RouterAction.Refuse refusalOf(List<RouterAction> actions) {
    return (RouterAction.Refuse) actions.get(0);
  }

  private static EndpointShare share(String name, boolean near, int slots) {
    EndpointShare.Distance d =
        near ? EndpointShare.Distance.SAME_ZONE : EndpointShare.Distance.SAME_REGION;
    return EndpointShare.of(info(name, slots, 60), d, 1, 1);
  }

  private static EndpointInfo info(String name, int slots, int connections) {
    AvailabilityZone zone = new AvailabilityZone("riga-a");
    return new EndpointInfo(name, zone, "ordering", "127.0.0.1:1", slots, connections, false);
  }
}
