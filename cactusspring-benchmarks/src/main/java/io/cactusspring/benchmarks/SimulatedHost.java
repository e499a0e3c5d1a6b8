package io.cactusspring.benchmarks;

import io.cactusspring.core.request.AttemptOutcome;
import io.cactusspring.core.request.EndpointInFlight;
import io.cactusspring.core.request.EndpointShare;
import io.cactusspring.core.request.ExecutionStatus;
import io.cactusspring.core.request.RequestRules;
import io.cactusspring.core.request.RequestSpec;
import io.cactusspring.core.request.RouterAction;
import io.cactusspring.core.request.ServiceRouter;
import io.cactusspring.core.request.TeamLimiter;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** An entry host that routes requests in virtual time. */
final class SimulatedHost {
  private static final long TICK_NANOS = 2_000_000;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final int UNLIMITED = 1_000_000;

  private final RequestSimulation simulation;
  private final List<EndpointShare> shares;
  private final ServiceRouter router;
  private final Map<Long, RequestSpec> specs = new HashMap<>();
  private final Map<String, Integer> published = new HashMap<>();
  private final Map<String, Integer> remote = new HashMap<>();
  private long lastTicket;
  private long answeredStart;

  SimulatedHost(RequestSimulation simulation, List<EndpointShare> shares, int index) {
    this.simulation = simulation;
    this.shares = shares;
    this.router =
        new ServiceRouter(
            simulation.scenario().settings(),
            RequestRules.standard(),
            new TeamLimiter(t -> UNLIMITED),
            new SplittableRandom(simulation.scenario().seed() * 31 + index),
            e -> remote.getOrDefault(e, 0));
  }

  void start() {
    router.update(shares, 0);
    simulation.events().schedule(TICK_NANOS, this::tick);
  }

  void offer(String team) {
    long now = simulation.events().now();
    long deadline = now + simulation.scenario().deadlineMillis() * NANOS_PER_MILLI;
    long ticket = ++lastTicket;
    RequestSpec spec = new RequestSpec(ticket, "r" + ticket, team, 1, true, now, deadline);
    if (simulation.scenario().routing() == Routing.RANDOM) {
      sendToRandomExecutor(spec);
      return;
    }
    specs.put(ticket, spec);
    perform(router.offer(spec, now));
  }

  void publishLoads() {
    published.clear();
    for (EndpointInFlight e : router.endpointLoads()) {
      published.put(e.endpoint(), e.inFlight());
    }
  }

  void updateRemoteLoads(List<SimulatedHost> hosts) {
    remote.clear();
    hosts.stream()
        .filter(h -> h != this)
        .forEach(h -> h.published.forEach((e, n) -> remote.merge(e, n, Integer::sum)));
  }

  private void tick() {
    if (router.waiting() > 0) {
      perform(router.tick(simulation.events().now()));
    }
    if (!simulation.isOver() || !router.isIdle()) {
      simulation.events().schedule(TICK_NANOS, this::tick);
    }
  }

  private void perform(List<RouterAction> actions) {
    actions.forEach(this::perform);
  }

  private void perform(RouterAction action) {
    switch (action) {
      case RouterAction.Send s -> send(s);
      case RouterAction.Deliver d -> {
        RequestSpec spec = specs.remove(d.ticket());
        simulation.figures().countAnswered(answeredStart - spec.arrivalNanos());
      }
      case RouterAction.Refuse r -> {
        specs.remove(r.ticket());
        simulation.figures().countRefused(r.executionStatus() == ExecutionStatus.NO);
      }
      case RouterAction.Drop d -> specs.remove(d.ticket());
      case RouterAction.Retry r -> {}
    }
  }

  private void send(RouterAction.Send s) {
    simulation.execute(
        s.endpoint().name(),
        (outcome, started) -> {
          answeredStart = started;
          endAttempt(s, outcome);
        });
    simulation
        .events()
        .schedule(s.timeoutNanos(), () -> endAttempt(s, new AttemptOutcome.Failed(true)));
  }

  private void endAttempt(RouterAction.Send s, AttemptOutcome outcome) {
    long now = simulation.events().now();
    perform(router.attemptEnded(s.ticket(), s.attempt(), outcome, now));
  }

  private void sendToRandomExecutor(RequestSpec spec) {
    long now = simulation.events().now();
    if (now >= spec.deadlineNanos()) {
      simulation.figures().countRefused(true);
      return;
    }
    int index = simulation.random().nextInt(RequestSimulation.EXECUTORS);
    simulation.execute(
        "x" + index,
        (outcome, started) -> {
          if (outcome instanceof AttemptOutcome.Answered) {
            simulation.figures().countAnswered(started - spec.arrivalNanos());
          } else {
            simulation.events().schedule(NANOS_PER_MILLI, () -> sendToRandomExecutor(spec));
          }
        });
  }
}
