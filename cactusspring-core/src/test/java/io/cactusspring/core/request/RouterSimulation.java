package io.cactusspring.core.request;

import io.cactusspring.core.model.AvailabilityZone;
import io.cactusspring.core.model.EndpointInfo;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/** Drives a router through a history, as the daemon does, and checks its actions with an oracle. */
final class RouterSimulation {
  private static final int ENDPOINTS = 4;
  private static final int SLOTS = 3;
  private static final int TEAMS = 3;
  private static final long MILLI = 1_000_000;
  private static final long LAST_DEADLINE_MILLIS = 1_000_000;

  /** An attempt that was sent to an endpoint. */
  private record Sent(long ticket, int attempt, String endpoint) {}

  private final Map<String, Boolean> leaving = new TreeMap<>();
  private final Map<String, Integer> limits = new HashMap<>();
  private final List<Sent> inFlight = new ArrayList<>();
  private final List<Sent> endedAttempts = new ArrayList<>();
  private final List<Long> tickets = new ArrayList<>();
  private final RouterOracle oracle = new RouterOracle();
  private final RequestRules rules;
  private final TeamLimiter limiter = new TeamLimiter(t -> limits.getOrDefault(t, 4));
  private final ServiceRouter router;
  private long now = -50 * MILLI;

  RouterSimulation(RequestRules rules) {
    this.rules = rules;
    RequestSettings settings = RequestSettings.builder().maxQueuePerTeam(5).build();
    router = new ServiceRouter(settings, rules, limiter, new SplittableRandom(7), e -> 0);
    for (int i = 0; i < ENDPOINTS; i++) {
      leaving.put("x" + i, false);
    }
    updateEndpoints();
  }

  /** Runs a history, then lets all requests end, as in a graceful shutdown. */
  void run(List<Step> history) {
    history.forEach(this::step);
    drain();
    checkIdle();
  }

  /** Runs a history, then stops at once, which a graceful shutdown must not do. */
  void runWithoutDraining(List<Step> history) {
    history.forEach(this::step);
    checkIdle();
  }

  private void step(Step s) {
    switch (s.kind()) {
      case OFFER -> offer(s);
      case ANSWER -> endAttempt(s, true, new AttemptOutcome.Answered());
      case CROSSED_ANSWER -> crossedAnswer(s);
      case NOT_RUN -> endAttempt(s, false, new AttemptOutcome.NotRun());
      case NOT_SENT -> endAttempt(s, false, new AttemptOutcome.NotSent());
      case FAIL_AFTER_RUN -> endAttempt(s, true, new AttemptOutcome.Failed(false));
      case FAIL_BEFORE_RUN -> endAttempt(s, false, new AttemptOutcome.Failed(true));
      case LATE_REPORT -> lateReport(s);
      case ADVANCE -> advance(s.a() % 50);
      case TOGGLE_LEAVING -> toggleLeaving(s);
      case REMOVE_ENDPOINT -> removeEndpoint(s);
      case SET_LIMIT -> limits.put("t" + s.a() % TEAMS, s.b() % 6);
      case ABANDON -> abandon(s);
    }
  }

  private void offer(Step s) {
    long ticket = tickets.size() + 1L;
    long deadline = now + (1 + s.b() % 300) * MILLI;
    boolean idempotent = s.b() % 2 == 0;
    RequestSpec spec =
        new RequestSpec(
            ticket, "r" + ticket, "t" + s.a() % TEAMS, 1 + s.a() % 4, idempotent, now, deadline);
    tickets.add(ticket);
    oracle.offered(spec);
    perform(router.offer(spec, now), ticket);
  }

  private void endAttempt(Step s, boolean ran, AttemptOutcome outcome) {
    if (!inFlight.isEmpty()) {
      Sent sent = inFlight.remove(s.a() % inFlight.size());
      report(sent, ran, outcome, sent.ticket());
    }
  }

  /** An endpoint responds to one request with the response to another. */
  private void crossedAnswer(Step s) {
    if (inFlight.size() < 2) {
      return;
    }
    Sent sent = inFlight.remove(s.a() % inFlight.size());
    Sent other = inFlight.get(s.b() % inFlight.size());
    ResponseHead head = new ResponseHead(200, "r" + other.ticket(), 4, false);
    ResponseHead.Classification classification = head.classify(rules, "r" + sent.ticket(), 10);
    AttemptOutcome outcome =
        classification == ResponseHead.Classification.RESPONSE
            ? new AttemptOutcome.Answered()
            : new AttemptOutcome.Failed(false);
    report(sent, true, outcome, other.ticket());
  }

  private void report(Sent sent, boolean ran, AttemptOutcome outcome, long answerOf) {
    endedAttempts.add(sent);
    oracle.attemptEnded(sent.endpoint());
    if (ran) {
      oracle.ran(sent.ticket());
    }
    perform(router.attemptEnded(sent.ticket(), sent.attempt(), outcome, now), answerOf);
  }

  /** The response of an attempt that has already ended arrives. */
  private void lateReport(Step s) {
    if (!endedAttempts.isEmpty()) {
      Sent sent = endedAttempts.get(s.a() % endedAttempts.size());
      perform(
          router.attemptEnded(sent.ticket(), sent.attempt(), new AttemptOutcome.Answered(), now),
          -1);
    }
  }

  private void advance(long millis) {
    now += millis * MILLI;
    perform(router.tick(now), -1);
  }

  private void toggleLeaving(Step s) {
    leaving.compute("x" + s.a() % ENDPOINTS, (n, l) -> l != null && !l);
    updateEndpoints();
  }

  private void removeEndpoint(Step s) {
    if (s.b() % 4 == 0) {
      leaving.remove("x" + s.a() % ENDPOINTS);
      updateEndpoints();
    }
  }

  private void abandon(Step s) {
    if (!tickets.isEmpty()) {
      perform(router.abandon(tickets.get(s.a() % tickets.size()), now), -1);
    }
  }

  private void updateEndpoints() {
    oracle.setOpen(leaving.keySet().stream().filter(n -> !leaving.get(n)).toList());
    router.update(leaving.keySet().stream().map(this::share).toList(), now);
  }

  private EndpointShare share(String name) {
    AvailabilityZone zone = new AvailabilityZone("riga-a");
    EndpointInfo info =
        new EndpointInfo(name, zone, "ordering", "127.0.0.1:1", SLOTS, 60, leaving.get(name));
    return EndpointShare.of(info, EndpointShare.Distance.SAME_ZONE, 2, 0);
  }

  private void perform(List<RouterAction> actions, long answerOf) {
    for (RouterAction action : actions) {
      switch (action) {
        case RouterAction.Send a -> {
          oracle.sent(a, limiter.limit(oracle.teamOf(a.ticket())));
          inFlight.add(new Sent(a.ticket(), a.attempt(), a.endpoint().name()));
        }
        case RouterAction.Deliver a -> oracle.delivered(a, answerOf);
        case RouterAction.Refuse a -> oracle.refused(a);
        case RouterAction.Drop a -> oracle.dropped(a.ticket());
        case RouterAction.Retry a -> {}
      }
    }
  }

  private void drain() {
    while (!inFlight.isEmpty()) {
      advance(5);
      endAttempt(new Step(Step.Kind.ANSWER, 0, 0), true, new AttemptOutcome.Answered());
    }
    advance(LAST_DEADLINE_MILLIS);
  }

  private void checkIdle() {
    oracle.checkAllEnded();
    RouterOracle.check(router.isIdle() && router.inFlight() == 0, "router is not idle");
    for (int t = 0; t < TEAMS; t++) {
      RouterOracle.check(limiter.inUse("t" + t) == 0, "units were not released");
    }
  }
}
