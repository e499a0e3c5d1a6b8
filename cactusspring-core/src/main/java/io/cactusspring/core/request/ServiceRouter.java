package io.cactusspring.core.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;

/**
 * Decides on all requests of one service: admission, order, endpoint, retries and final answers.
 * Events go in, actions come out; each accepted request leads to exactly one {@code Deliver},
 * {@code Refuse} or {@code Drop}. Not safe for use by several threads.
 *
 * <pre>{@code
 * List<RouterAction> todo = router.offer(spec, System.nanoTime());
 * }</pre>
 *
 * @since 0.1
 */
public final class ServiceRouter {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long MIN_RETRY_AFTER_MILLIS = 50;
  private static final long NO_ENDPOINT_RETRY_MILLIS = 1_000;
  private static final int LATENCIES_PER_TIMEOUT = 4;
  private static final Comparator<RequestLife> BY_DEADLINE =
      Comparator.<RequestLife>comparingLong(l -> l.spec().deadlineNanos())
          .thenComparingLong(l -> l.spec().ticket());

  private record Delayed(long readyNanos, RequestLife life) {
    static final Comparator<Delayed> ORDER =
        Comparator.comparingLong(Delayed::readyNanos)
            .thenComparingLong(d -> d.life().spec().ticket());
  }

  private final RequestSettings settings;
  private final RequestRules rules;
  private final TeamUnits units;
  private final RandomGenerator random;
  private final EndpointPicker picker;
  private final FairQueue<RequestLife> queue = new FairQueue<>();
  private final Map<Long, RequestLife> lives = new HashMap<>();
  private final Map<String, EndpointState> endpoints = new TreeMap<>();
  private final Map<String, RetryBudget> teamRetries = new HashMap<>();
  private final TreeSet<RequestLife> deadlines = new TreeSet<>(BY_DEADLINE);
  private final TreeSet<Delayed> delayed = new TreeSet<>(Delayed.ORDER);
  private final LatencyAverage latency = new LatencyAverage();
  private int inFlight;

  /**
   * @param remoteInFlight hint: requests of other entry hosts at an endpoint
   */
  public ServiceRouter(
      RequestSettings settings,
      RequestRules rules,
      TeamUnits units,
      RandomGenerator random,
      ToIntFunction<String> remoteInFlight) {
    this.settings = settings;
    this.rules = rules;
    this.units = units;
    this.random = random;
    this.picker = new EndpointPicker(rules, settings.sampledEndpoints(), random, remoteInFlight);
  }

  /** Takes over a new list of endpoints. */
  public void update(List<EndpointShare> shares, long nowNanos) {
    Set<String> named = new HashSet<>();
    for (EndpointShare s : shares) {
      named.add(s.name());
      endpoints
          .computeIfAbsent(s.name(), n -> new EndpointState(s, settings, nowNanos))
          .setShare(s);
    }
    endpoints.values().removeIf(e -> !named.contains(e.share().name()) && e.inFlight() == 0);
    endpoints.values().stream()
        .filter(e -> !named.contains(e.share().name()))
        .forEach(e -> e.setShare(e.share().asLeaving()));
  }

  /** Takes a new request in, or refuses it at once. */
  public List<RouterAction> offer(RequestSpec spec, long nowNanos) {
    List<RouterAction> out = new ArrayList<>();
    Optional<RouterAction> refusal = refusalOf(spec, nowNanos);
    if (refusal.isPresent()) {
      out.add(refusal.get());
      return out;
    }
    RequestLife life = new RequestLife(spec, rules);
    lives.put(spec.ticket(), life);
    deadlines.add(life);
    queue.add(spec.team(), spec.weight(), life);
    dispatch(nowNanos, out);
    return out;
  }

  /** Takes note of the end of an attempt. */
  public List<RouterAction> ended(long ticket, int attempt, AttemptOutcome outcome, long nowNanos) {
    List<RouterAction> out = new ArrayList<>();
    RequestLife life = lives.get(ticket);
    if (life == null) {
      return out;
    }
    RequestLife.Verdict verdict = life.attemptEnded(attempt, outcome);
    if (verdict == RequestLife.Verdict.IGNORE) {
      return out;
    }
    noteEnd(life, outcome, nowNanos);
    act(life, verdict, outcome, nowNanos, out);
    dispatch(nowNanos, out);
    return out;
  }

  /** The caller of a request is gone. */
  public List<RouterAction> abandon(long ticket, long nowNanos) {
    List<RouterAction> out = new ArrayList<>();
    RequestLife life = lives.get(ticket);
    if (life == null) {
      return out;
    }
    life.abandon();
    if (life.isWaitingOrBackingOff()) {
      finish(life);
      out.add(new RouterAction.Drop(ticket));
      dispatch(nowNanos, out);
    }
    return out;
  }

  /** Lets time pass: deadlines, retries that are due, and endpoints that have room again. */
  public List<RouterAction> tick(long nowNanos) {
    List<RouterAction> out = new ArrayList<>();
    expire(nowNanos, out);
    requeue(nowNanos);
    dispatch(nowNanos, out);
    return out;
  }

  /** Requests that were sent and have no final answer yet. */
  public int inFlight() {
    return inFlight;
  }

  /** Requests that wait for an endpoint or for their next attempt. */
  public int waiting() {
    return queue.size() + delayed.size();
  }

  /** Requests of a team that wait for an endpoint. */
  public int waiting(String team) {
    return queue.size(team);
  }

  /** Whether no request is left. */
  public boolean isIdle() {
    return lives.isEmpty();
  }

  /** Requests in flight at each endpoint, in order of their names. */
  public List<EndpointInFlight> endpointLoads() {
    return endpoints.values().stream()
        .map(e -> new EndpointInFlight(e.share().name(), e.inFlight()))
        .toList();
  }

  private Optional<RouterAction> refusalOf(RequestSpec spec, long nowNanos) {
    if (endpoints.values().stream().noneMatch(e -> rules.acceptsWork(e.share()))) {
      return refuse(spec, RouterAction.Kind.NO_ENDPOINT, NO_ENDPOINT_RETRY_MILLIS);
    }
    if (units.limit(spec.team()) <= 0) {
      return refuse(spec, RouterAction.Kind.OVER_LIMIT, NO_ENDPOINT_RETRY_MILLIS);
    }
    long wait = estimateWaitNanos(spec);
    if (queue.size(spec.team()) >= settings.maxQueuePerTeam()) {
      return refuse(spec, RouterAction.Kind.QUEUE_FULL, retryAfterMillis(wait));
    }
    if (nowNanos + wait - spec.deadlineNanos() >= 0) {
      return refuse(spec, RouterAction.Kind.DEADLINE, retryAfterMillis(wait));
    }
    return Optional.empty();
  }

  private static Optional<RouterAction> refuse(
      RequestSpec spec, RouterAction.Kind kind, long retryAfterMillis) {
    return Optional.of(new RouterAction.Refuse(spec.ticket(), kind, Ran.NO, retryAfterMillis));
  }

  /** Time until a new request would have its answer; 0 when nothing waits. */
  private long estimateWaitNanos(RequestSpec spec) {
    if (queue.size() == 0) {
      return 0;
    }
    long ahead = queue.itemsBefore(spec.team(), spec.weight()) + 1L;
    long all = ahead * latency.nanos() / Math.max(1, inFlight);
    int limit = Math.max(1, units.limit(spec.team()));
    long own = (queue.size(spec.team()) + 1L) * latency.nanos() / limit;
    return Math.max(all, own) + latency.nanos();
  }

  private static long retryAfterMillis(long waitNanos) {
    return Math.max(MIN_RETRY_AFTER_MILLIS, waitNanos / NANOS_PER_MILLI);
  }

  private void noteEnd(RequestLife life, AttemptOutcome outcome, long nowNanos) {
    long took = nowNanos - life.sentNanos();
    endpoints.get(life.endpoint()).ended(outcome, took, nowNanos);
    inFlight--;
    if (outcome instanceof AttemptOutcome.Answered) {
      latency.add(took);
    }
  }

  private void act(
      RequestLife life,
      RequestLife.Verdict verdict,
      AttemptOutcome outcome,
      long nowNanos,
      List<RouterAction> out) {
    long ticket = life.spec().ticket();
    switch (verdict) {
      case DELIVER -> {
        finish(life);
        out.add(new RouterAction.Deliver(ticket, life.attempt(), life.endpoint()));
      }
      case DROP -> {
        finish(life);
        out.add(new RouterAction.Drop(ticket));
      }
      case RESEND -> {
        out.add(new RouterAction.Retry(ticket, reasonOf(outcome)));
        queue.addFirst(life.spec().team(), life.spec().weight(), life);
        expire(nowNanos, out);
      }
      case REPEAT -> repeatOrGiveUp(life, outcome, nowNanos, out);
      case GIVE_UP -> giveUp(life, nowNanos, out);
      case IGNORE -> {}
    }
  }

  private void repeatOrGiveUp(
      RequestLife life, AttemptOutcome outcome, long nowNanos, List<RouterAction> out) {
    RetryBudget ofTeam = teamRetries(life.spec().team(), nowNanos);
    RetryBudget ofEndpoint = endpoints.get(life.endpoint()).retries();
    long ready = nowNanos + backoffNanos(life);
    boolean hasTime = ready - life.spec().deadlineNanos() < 0;
    boolean hasAttempts = life.attemptsThatMayHaveRun() < settings.maxAttempts();
    if (!hasTime || !hasAttempts || !ofTeam.allows(nowNanos) || !ofEndpoint.allows(nowNanos)) {
      giveUp(life, nowNanos, out);
      return;
    }
    ofTeam.spend();
    ofEndpoint.spend();
    out.add(new RouterAction.Retry(life.spec().ticket(), reasonOf(outcome)));
    life.backOff();
    delayed.add(new Delayed(ready, life));
  }

  private long backoffNanos(RequestLife life) {
    return Backoff.jitteredNanos(
        settings.backoffMillis() * NANOS_PER_MILLI,
        settings.maxBackoffMillis() * NANOS_PER_MILLI,
        life.attempt(),
        random);
  }

  private void giveUp(RequestLife life, long nowNanos, List<RouterAction> out) {
    boolean late = nowNanos - life.spec().deadlineNanos() >= 0;
    refuseLife(life, late ? RouterAction.Kind.DEADLINE : RouterAction.Kind.ENDPOINT_FAILED, out);
  }

  private void refuseLife(RequestLife life, RouterAction.Kind kind, List<RouterAction> out) {
    finish(life);
    long after = retryAfterMillis(estimateWaitNanos(life.spec()));
    out.add(new RouterAction.Refuse(life.spec().ticket(), kind, life.ran(), after));
  }

  private void expire(long nowNanos, List<RouterAction> out) {
    List<RequestLife> late =
        deadlines.stream()
            .takeWhile(l -> nowNanos - l.spec().deadlineNanos() >= 0)
            .filter(RequestLife::isWaitingOrBackingOff)
            .toList();
    late.forEach(l -> refuseLife(l, RouterAction.Kind.DEADLINE, out));
  }

  private void requeue(long nowNanos) {
    while (!delayed.isEmpty() && nowNanos - delayed.first().readyNanos() >= 0) {
      RequestLife life = delayed.pollFirst().life();
      life.backedOff();
      queue.addFirst(life.spec().team(), life.spec().weight(), life);
    }
  }

  private void dispatch(long nowNanos, List<RouterAction> out) {
    while (true) {
      Optional<RequestLife> head = queue.peek(this::mayGo);
      if (head.isEmpty()) {
        return;
      }
      RequestLife life = head.get();
      if (nowNanos - life.spec().deadlineNanos() >= 0) {
        refuseLife(life, RouterAction.Kind.DEADLINE, out);
        continue;
      }
      Optional<EndpointState> endpoint = choose(life, nowNanos);
      if (endpoint.isEmpty()) {
        return;
      }
      if (takeUnit(life)) {
        queue.take(life.spec().team());
        send(life, endpoint.get(), nowNanos, out);
      }
    }
  }

  private Optional<EndpointState> choose(RequestLife life, long nowNanos) {
    long waited = nowNanos - life.spec().offeredNanos();
    boolean maySpill = waited >= settings.spillAfterMillis() * NANOS_PER_MILLI;
    return picker.pick(endpoints.values(), life.endpoint(), maySpill, nowNanos);
  }

  private boolean mayGo(RequestLife life) {
    return life.holdsUnit() || units.hasFree(life.spec().team()) || rules.mayGoWithoutUnit();
  }

  private boolean takeUnit(RequestLife life) {
    if (life.holdsUnit()) {
      return true;
    }
    String team = life.spec().team();
    boolean taken = units.tryTake(team);
    if (!taken && rules.mayGoWithoutUnit()) {
      units.take(team);
      taken = true;
    }
    life.setHoldsUnit(taken);
    return taken;
  }

  private void send(
      RequestLife life, EndpointState endpoint, long nowNanos, List<RouterAction> out) {
    if (life.attempt() == 0) {
      teamRetries(life.spec().team(), nowNanos).earn();
      endpoint.retries().earn();
    }
    life.send(endpoint.share().name(), nowNanos);
    endpoint.sent();
    inFlight++;
    long remaining = life.spec().deadlineNanos() - nowNanos;
    long timeout = Math.min(remaining, attemptTimeoutNanos(life, endpoint));
    out.add(
        new RouterAction.Send(
            life.spec().ticket(), life.attempt(), endpoint.share(), timeout, remaining));
  }

  /** A request that cannot be sent again is left all its time. */
  private long attemptTimeoutNanos(RequestLife life, EndpointState endpoint) {
    if (!life.spec().idempotent()) {
      return Long.MAX_VALUE;
    }
    long base = settings.attemptTimeoutMillis() * NANOS_PER_MILLI;
    long usual = LATENCIES_PER_TIMEOUT * endpoint.latencyNanos();
    return Math.max(base, usual) << Math.min(life.attemptsThatMayHaveRun(), 16);
  }

  private void finish(RequestLife life) {
    RequestSpec spec = life.spec();
    queue.remove(spec.team(), life);
    delayed.removeIf(d -> d.life() == life);
    deadlines.remove(life);
    lives.remove(spec.ticket());
    life.end();
    if (life.holdsUnit()) {
      life.setHoldsUnit(false);
      units.give(spec.team());
    }
  }

  private RetryBudget teamRetries(String team, long nowNanos) {
    return teamRetries.computeIfAbsent(
        team, t -> new RetryBudget(settings.retryRatio(), settings.retryReserve(), nowNanos));
  }

  private static RouterAction.RetryReason reasonOf(AttemptOutcome outcome) {
    return switch (outcome) {
      case AttemptOutcome.NotRun n -> RouterAction.RetryReason.NOT_RUN;
      case AttemptOutcome.NotSent n -> RouterAction.RetryReason.NOT_SENT;
      case AttemptOutcome.Failed f when f.timedOut() -> RouterAction.RetryReason.TIMED_OUT;
      case AttemptOutcome.Failed f -> RouterAction.RetryReason.FAILED;
      case AttemptOutcome.Answered a ->
          throw new IllegalArgumentException("an answered request is not retried");
    };
  }
}
