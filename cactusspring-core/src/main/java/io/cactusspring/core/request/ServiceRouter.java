package io.cactusspring.core.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
  private final RetryPolicy retries;
  private final EndpointSet endpoints;
  private final FairQueue<RequestLife> queue = new FairQueue<>();
  private final Map<Long, RequestLife> lives = new HashMap<>();
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
    this.retries = new RetryPolicy(settings, random);
    EndpointPicker picker =
        new EndpointPicker(rules, settings.sampledEndpoints(), random, remoteInFlight);
    this.endpoints = new EndpointSet(settings, rules, picker);
  }

  /** Takes over a new list of endpoints. */
  public void update(List<EndpointShare> shares, long nowNanos) {
    endpoints.update(shares, nowNanos);
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
    return endpoints.loads();
  }

  private Optional<RouterAction> refusalOf(RequestSpec spec, long nowNanos) {
    if (!endpoints.anyAcceptsWork()) {
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
    long ready = retries.nextAttemptNanos(life, nowNanos);
    if (!retries.tryRetry(life, endpoints.get(life.endpoint()), ready, nowNanos)) {
      giveUp(life, nowNanos, out);
      return;
    }
    out.add(new RouterAction.Retry(life.spec().ticket(), reasonOf(outcome)));
    life.backOff();
    delayed.add(new Delayed(ready, life));
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
      if (isTooLate(life, nowNanos)) {
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

  /**
   * Whether an answer in time is unlikely. A request that has waited and has less than half the
   * usual service time left is still known not to have run; sent, its outcome would be unknown.
   */
  private boolean isTooLate(RequestLife life, long nowNanos) {
    long remaining = life.spec().deadlineNanos() - nowNanos;
    boolean waited = nowNanos - life.spec().offeredNanos() >= NANOS_PER_MILLI;
    return remaining <= 0 || (waited && inFlight > 0 && remaining < latency.nanos() / 2);
  }

  private Optional<EndpointState> choose(RequestLife life, long nowNanos) {
    long waited = nowNanos - life.spec().offeredNanos();
    boolean maySpill = waited >= settings.spillAfterMillis() * NANOS_PER_MILLI;
    return endpoints.choose(life, maySpill, nowNanos);
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
      retries.firstAttempt(life, endpoint, nowNanos);
    }
    life.send(endpoint.share().name(), nowNanos);
    endpoint.sent();
    inFlight++;
    long remaining = life.spec().deadlineNanos() - nowNanos;
    long timeout = Math.min(remaining, retries.attemptTimeoutNanos(life, endpoint));
    out.add(
        new RouterAction.Send(
            life.spec().ticket(), life.attempt(), endpoint.share(), timeout, remaining));
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
