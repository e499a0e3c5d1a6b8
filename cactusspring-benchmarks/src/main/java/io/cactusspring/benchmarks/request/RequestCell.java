package io.cactusspring.benchmarks.request;

import io.cactusspring.core.model.AvailabilityZone;
import io.cactusspring.core.model.EndpointInfo;
import io.cactusspring.core.request.AttemptOutcome;
import io.cactusspring.core.request.EndpointShare;
import io.cactusspring.core.request.RequestRules;
import io.cactusspring.core.request.RequestSpec;
import io.cactusspring.core.request.RouterAction;
import io.cactusspring.core.request.ServiceRouter;
import io.cactusspring.core.request.TeamLimiter;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;

/** Simulates the request router of one entry host under a virtual clock. */
public final class RequestCell {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long DEADLINE_NANOS = 2_000 * NANOS_PER_MILLI;
  private static final long TICK_NANOS = 5 * NANOS_PER_MILLI;
  private static final long MAX_MICROS = 60_000_000;
  private static final long MAX_NANOS = 1_000_000_000;
  private static final double SERVICE_SIGMA = 0.5;
  private static final int TEAMS = 6;

  private final Scenario scenario;
  private final RequestPolicy policy;
  private final int requests;
  private final RandomGenerator random;
  private final ServiceRouter router;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));
  private final Map<Long, Long> offered = new HashMap<>();
  private final Histogram latency = new Histogram(MAX_MICROS, 3);
  private final Histogram decisions = new Histogram(MAX_NANOS, 3);
  private long nextSequence;
  private long nowNanos;
  private long lengthNanos;
  private long attempts;

  private sealed interface Event {
    long atNanos();

    long sequence();
  }

  private record Offer(long atNanos, long sequence, RequestSpec spec) implements Event {}

  private record End(long atNanos, long sequence, long ticket, int attempt, AttemptOutcome outcome)
      implements Event {}

  private record Tick(long atNanos, long sequence) implements Event {}

  private RequestCell(Scenario scenario, RequestPolicy policy, int requests, long seed) {
    this.scenario = scenario;
    this.policy = policy;
    this.requests = requests;
    this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    this.router =
        new ServiceRouter(
            policy.settings(),
            RequestRules.standard(),
            new TeamLimiter(t -> Integer.MAX_VALUE),
            RandomGeneratorFactory.of("L64X128MixRandom").create(seed + 1),
            e -> 0);
  }

  /** Simulates a scenario and returns the measurements. */
  public static RequestResult run(
      Scenario scenario, RequestPolicy policy, int requests, long seed) {
    return new RequestCell(scenario, policy, requests, seed).simulate();
  }

  private RequestResult simulate() {
    router.update(IntStream.range(0, scenario.executors()).mapToObj(this::share).toList(), 0);
    double at = 0;
    for (int i = 0; i < requests; i++) {
      at += -Math.log(1 - random.nextDouble()) / scenario.requestsPerSecond() * 1e9;
      events.add(new Offer((long) at, nextSequence++, spec(i, (long) at)));
    }
    lengthNanos = (long) at;
    events.add(new Tick(TICK_NANOS, nextSequence++));
    while (!events.isEmpty()) {
      handle(events.poll());
    }
    double answered = (double) latency.getTotalCount() / requests;
    return new RequestResult(
        scenario, policy, latency, answered, (double) attempts / requests, decisions);
  }

  private EndpointShare share(int number) {
    EndpointInfo info =
        new EndpointInfo(
            "x" + number,
            new AvailabilityZone("zone-a"),
            "ordering",
            "127.0.0.1:1",
            Scenario.SLOTS,
            60,
            false);
    return EndpointShare.of(info, EndpointShare.Distance.SAME_ZONE, 1, 0);
  }

  private static RequestSpec spec(int number, long atNanos) {
    String team = "t" + number % TEAMS;
    return new RequestSpec(
        number, "r" + number, team, 1 + number % TEAMS, true, atNanos, atNanos + DEADLINE_NANOS);
  }

  private void handle(Event event) {
    nowNanos = event.atNanos();
    long start = System.nanoTime();
    List<RouterAction> actions =
        switch (event) {
          case Offer e -> offer(e.spec());
          case End e -> router.attemptEnded(e.ticket(), e.attempt(), e.outcome(), nowNanos);
          case Tick e -> tick();
        };
    decisions.recordValue(Math.min(MAX_NANOS, System.nanoTime() - start));
    actions.forEach(this::apply);
  }

  private List<RouterAction> offer(RequestSpec spec) {
    offered.put(spec.ticket(), nowNanos);
    return router.offer(spec, nowNanos);
  }

  private List<RouterAction> tick() {
    if (nowNanos < lengthNanos || !router.isIdle()) {
      events.add(new Tick(nowNanos + TICK_NANOS, nextSequence++));
    }
    return router.tick(nowNanos);
  }

  private void apply(RouterAction action) {
    switch (action) {
      case RouterAction.Send a -> send(a);
      case RouterAction.Deliver a -> {
        long micros = (nowNanos - offered.remove(a.ticket())) / 1_000;
        latency.recordValue(Math.min(MAX_MICROS, micros));
      }
      case RouterAction.Refuse a -> offered.remove(a.ticket());
      case RouterAction.Drop a -> offered.remove(a.ticket());
      case RouterAction.Retry a -> {}
    }
  }

  private void send(RouterAction.Send send) {
    attempts++;
    long durationNanos = serviceNanos(send.endpoint().name());
    boolean timedOut = durationNanos > send.timeoutNanos();
    AttemptOutcome outcome =
        timedOut || fails() ? new AttemptOutcome.Failed(timedOut) : new AttemptOutcome.Answered();
    long at = nowNanos + Math.min(durationNanos, send.timeoutNanos());
    events.add(new End(at, nextSequence++, send.ticket(), send.attempt(), outcome));
  }

  private long serviceNanos(String endpoint) {
    boolean slow = Integer.parseInt(endpoint.substring(1)) < scenario.slowExecutors();
    double mean = scenario.meanMillis() * (slow ? Scenario.SLOW_FACTOR : 1);
    double factor =
        Math.exp(random.nextGaussian() * SERVICE_SIGMA - SERVICE_SIGMA * SERVICE_SIGMA / 2);
    return (long) (mean * factor * NANOS_PER_MILLI);
  }

  private boolean fails() {
    boolean inWindow = nowNanos > lengthNanos * 2 / 5 && nowNanos < lengthNanos * 3 / 5;
    return inWindow && random.nextDouble() < scenario.failingPart();
  }
}
