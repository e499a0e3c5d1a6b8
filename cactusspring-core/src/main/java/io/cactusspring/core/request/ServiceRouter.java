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
 * Routes the requests of one service: admission, order, endpoint, retries and final responses. Each
 * event returns the actions to perform; each accepted request leads to exactly one {@code Deliver},
 * {@code Refuse} or {@code Drop}. Times are monotonic, in nanoseconds. Not thread-safe.
 *
 * <pre>{@code
 * List<RouterAction> actions = router.offer(spec, System.nanoTime());
 * }</pre>
 *
 * @since 0.1
 */
public final class ServiceRouter {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long MIN_RETRY_AFTER_MILLIS = 50;
  private static final long NO_ENDPOINT_RETRY_MILLIS = 1_000;
  private static final Comparator<RequestLifecycle> BY_DEADLINE =
      Comparator.<RequestLifecycle>comparingLong(l -> l.spec().deadlineNanos())
          .thenComparingLong(l -> l.spec().ticket());

  private record Delayed(long readyNanos, RequestLifecycle request) {
    static final Comparator<Delayed> ORDER =
        Comparator.comparingLong(Delayed::readyNanos)
            .thenComparingLong(d -> d.request().spec().ticket());
  }

  private final RequestSettings settings;
  private final RequestRules rules;
  private final TeamLimiter limiter;
  private final RetryPolicy retries;
  private final EndpointSet endpoints;
  private final FairQueue<RequestLifecycle> queue = new FairQueue<>();
  private final Map<Long, RequestLifecycle> requests = new HashMap<>();
  private final TreeSet<RequestLifecycle> deadlines = new TreeSet<>(BY_DEADLINE);
  private final TreeSet<Delayed> delayed = new TreeSet<>(Delayed.ORDER);
  private final LatencyAverage latency = new LatencyAverage();
  private int inFlight;

  /**
   * @param remoteInFlight last known number of requests in flight from other entry hosts to an
   *     endpoint, by endpoint name; may be outdated
   */
  public ServiceRouter(
      RequestSettings settings,
      RequestRules rules,
      TeamLimiter limiter,
      RandomGenerator random,
      ToIntFunction<String> remoteInFlight) {
    this.settings = settings;
    this.rules = rules;
    this.limiter = limiter;
    this.retries = new RetryPolicy(settings, random);
    EndpointPicker picker =
        new EndpointPicker(rules, settings.sampledEndpoints(), random, remoteInFlight);
    this.endpoints = new EndpointSet(settings, rules, picker);
  }

  /** Replaces the list of endpoints. */
  public void update(List<EndpointShare> shares, long nowNanos) {
    endpoints.update(shares, nowNanos);
  }

  /** Accepts a new request or refuses it immediately. */
  public List<RouterAction> offer(RequestSpec spec, long nowNanos) {
    List<RouterAction> out = new ArrayList<>();
    Optional<RouterAction> refusal = refusalOf(spec, nowNanos);
    if (refusal.isPresent()) {
      out.add(refusal.get());
      return out;
    }
    RequestLifecycle request = new RequestLifecycle(spec, rules);
    requests.put(spec.ticket(), request);
    deadlines.add(request);
    queue.add(spec.team(), spec.weight(), request);
    dispatch(nowNanos, out);
    return out;
  }

  /** Processes the end of an attempt; ignores a report of an unknown request or earlier attempt. */
  public List<RouterAction> attemptEnded(
      long ticket, int attempt, AttemptOutcome outcome, long nowNanos) {
    List<RouterAction> out = new ArrayList<>();
    RequestLifecycle request = requests.get(ticket);
    if (request == null) {
      return out;
    }
    RequestLifecycle.NextStep step = request.attemptEnded(attempt, outcome);
    if (step == RequestLifecycle.NextStep.IGNORE) {
      return out;
    }
    recordAttemptEnd(request, outcome, nowNanos);
    applyStep(request, step, outcome, nowNanos, out);
    dispatch(nowNanos, out);
    return out;
  }

  /**
   * Processes the disconnection of a request's caller. A request that is in flight ends when its
   * attempt ends.
   */
  public List<RouterAction> abandon(long ticket, long nowNanos) {
    List<RouterAction> out = new ArrayList<>();
    RequestLifecycle request = requests.get(ticket);
    if (request == null) {
      return out;
    }
    request.abandon();
    if (request.isWaitingOrBackingOff()) {
      finish(request);
      out.add(new RouterAction.Drop(ticket));
      dispatch(nowNanos, out);
    }
    return out;
  }

  /**
   * Refuses waiting requests whose deadline has passed, queues retries that are due, and sends
   * queued requests for which an endpoint has capacity.
   */
  public List<RouterAction> tick(long nowNanos) {
    List<RouterAction> out = new ArrayList<>();
    expire(nowNanos, out);
    requeue(nowNanos);
    dispatch(nowNanos, out);
    return out;
  }

  /** Returns the number of attempts in flight. */
  public int inFlight() {
    return inFlight;
  }

  /** Returns the number of requests that wait for an endpoint or for their next attempt. */
  public int waiting() {
    return queue.size() + delayed.size();
  }

  /** Returns the number of requests of a team that wait for an endpoint. */
  public int waiting(String team) {
    return queue.size(team);
  }

  /** Returns whether there are no accepted requests without a final response. */
  public boolean isIdle() {
    return requests.isEmpty();
  }

  /** Returns the requests in flight at each endpoint, ordered by endpoint name. */
  public List<EndpointInFlight> endpointLoads() {
    return endpoints.loads();
  }

  private Optional<RouterAction> refusalOf(RequestSpec spec, long nowNanos) {
    if (!endpoints.anyAcceptsWork()) {
      return refuse(spec, RouterAction.RefusalKind.NO_ENDPOINT, NO_ENDPOINT_RETRY_MILLIS);
    }
    if (limiter.limit(spec.team()) <= 0) {
      return refuse(spec, RouterAction.RefusalKind.OVER_LIMIT, NO_ENDPOINT_RETRY_MILLIS);
    }
    long wait = estimateWaitNanos(spec);
    if (queue.size(spec.team()) >= settings.maxQueuePerTeam()) {
      return refuse(spec, RouterAction.RefusalKind.QUEUE_FULL, retryAfterMillis(wait));
    }
    if (nowNanos + wait - spec.deadlineNanos() >= 0) {
      return refuse(spec, RouterAction.RefusalKind.DEADLINE, retryAfterMillis(wait));
    }
    return Optional.empty();
  }

  private static Optional<RouterAction> refuse(
      RequestSpec spec, RouterAction.RefusalKind kind, long retryAfterMillis) {
    return Optional.of(
        new RouterAction.Refuse(spec.ticket(), kind, ExecutionStatus.NO, retryAfterMillis));
  }

  /** Estimates the time until a new request is answered; 0 if no request is queued. */
  private long estimateWaitNanos(RequestSpec spec) {
    if (queue.size() == 0) {
      return 0;
    }
    long ahead = queue.itemsBefore(spec.team(), spec.weight()) + 1L;
    long all = ahead * latency.nanos() / Math.max(1, inFlight);
    int limit = Math.max(1, limiter.limit(spec.team()));
    long own = (queue.size(spec.team()) + 1L) * latency.nanos() / limit;
    return Math.max(all, own) + latency.nanos();
  }

  private static long retryAfterMillis(long waitNanos) {
    return Math.max(MIN_RETRY_AFTER_MILLIS, waitNanos / NANOS_PER_MILLI);
  }

  private void recordAttemptEnd(RequestLifecycle request, AttemptOutcome outcome, long nowNanos) {
    long took = nowNanos - request.sentNanos();
    endpoints.get(request.endpoint()).attemptEnded(outcome, took, nowNanos);
    inFlight--;
    if (outcome instanceof AttemptOutcome.Answered) {
      latency.add(took);
    }
  }

  private void applyStep(
      RequestLifecycle request,
      RequestLifecycle.NextStep step,
      AttemptOutcome outcome,
      long nowNanos,
      List<RouterAction> out) {
    long ticket = request.spec().ticket();
    switch (step) {
      case DELIVER -> {
        finish(request);
        out.add(new RouterAction.Deliver(ticket, request.attempt(), request.endpoint()));
      }
      case DROP -> {
        finish(request);
        out.add(new RouterAction.Drop(ticket));
      }
      case RESEND -> {
        out.add(new RouterAction.Retry(ticket, reasonOf(outcome)));
        queue.addFirst(request.spec().team(), request.spec().weight(), request);
        expire(nowNanos, out);
      }
      case RETRY -> retryOrFail(request, outcome, nowNanos, out);
      case FAIL -> fail(request, nowNanos, out);
      case IGNORE -> {}
    }
  }

  private void retryOrFail(
      RequestLifecycle request, AttemptOutcome outcome, long nowNanos, List<RouterAction> out) {
    long ready = retries.nextAttemptNanos(request, nowNanos);
    if (!retries.tryRetry(request, endpoints.get(request.endpoint()), ready, nowNanos)) {
      fail(request, nowNanos, out);
      return;
    }
    out.add(new RouterAction.Retry(request.spec().ticket(), reasonOf(outcome)));
    request.startBackoff();
    delayed.add(new Delayed(ready, request));
  }

  private void fail(RequestLifecycle request, long nowNanos, List<RouterAction> out) {
    boolean late = nowNanos - request.spec().deadlineNanos() >= 0;
    refuseAccepted(
        request,
        late ? RouterAction.RefusalKind.DEADLINE : RouterAction.RefusalKind.ENDPOINT_FAILED,
        out);
  }

  private void refuseAccepted(
      RequestLifecycle request, RouterAction.RefusalKind kind, List<RouterAction> out) {
    finish(request);
    long after = retryAfterMillis(estimateWaitNanos(request.spec()));
    out.add(
        new RouterAction.Refuse(request.spec().ticket(), kind, request.executionStatus(), after));
  }

  private void expire(long nowNanos, List<RouterAction> out) {
    List<RequestLifecycle> late =
        deadlines.stream()
            .takeWhile(l -> nowNanos - l.spec().deadlineNanos() >= 0)
            .filter(RequestLifecycle::isWaitingOrBackingOff)
            .toList();
    late.forEach(l -> refuseAccepted(l, RouterAction.RefusalKind.DEADLINE, out));
  }

  private void requeue(long nowNanos) {
    while (!delayed.isEmpty() && nowNanos - delayed.first().readyNanos() >= 0) {
      RequestLifecycle request = delayed.pollFirst().request();
      request.endBackoff();
      queue.addFirst(request.spec().team(), request.spec().weight(), request);
    }
  }

  private void dispatch(long nowNanos, List<RouterAction> out) {
    while (true) {
      Optional<RequestLifecycle> head = queue.peek(this::maySend);
      if (head.isEmpty()) {
        return;
      }
      RequestLifecycle request = head.get();
      if (isLikelyTooLate(request, nowNanos)) {
        refuseAccepted(request, RouterAction.RefusalKind.DEADLINE, out);
        continue;
      }
      Optional<EndpointState> endpoint = choose(request, nowNanos);
      if (endpoint.isEmpty()) {
        return;
      }
      if (acquireUnit(request)) {
        queue.take(request.spec().team());
        send(request, endpoint.get(), nowNanos, out);
      }
    }
  }

  /**
   * Returns whether a response before the deadline is unlikely: the request has waited and has less
   * than half the average latency left. Refused now, it can be reported as not run; once sent, its
   * outcome would probably be unknown.
   */
  private boolean isLikelyTooLate(RequestLifecycle request, long nowNanos) {
    long remaining = request.spec().deadlineNanos() - nowNanos;
    boolean waited = nowNanos - request.spec().arrivalNanos() >= NANOS_PER_MILLI;
    return remaining <= 0 || (waited && inFlight > 0 && remaining < latency.nanos() / 2);
  }

  private Optional<EndpointState> choose(RequestLifecycle request, long nowNanos) {
    long waited = nowNanos - request.spec().arrivalNanos();
    boolean maySpill = waited >= settings.spillAfterMillis() * NANOS_PER_MILLI;
    return endpoints.choose(request, maySpill, nowNanos);
  }

  private boolean maySend(RequestLifecycle request) {
    return request.holdsUnit()
        || limiter.hasFree(request.spec().team())
        || rules.maySendWithoutUnit();
  }

  private boolean acquireUnit(RequestLifecycle request) {
    if (request.holdsUnit()) {
      return true;
    }
    String team = request.spec().team();
    boolean acquired = limiter.tryAcquire(team);
    if (!acquired && rules.maySendWithoutUnit()) {
      limiter.acquire(team);
      acquired = true;
    }
    request.setHoldsUnit(acquired);
    return acquired;
  }

  private void send(
      RequestLifecycle request, EndpointState endpoint, long nowNanos, List<RouterAction> out) {
    if (request.attempt() == 0) {
      retries.recordFirstAttempt(request, endpoint, nowNanos);
    }
    request.startAttempt(endpoint.share().name(), nowNanos);
    endpoint.attemptStarted();
    inFlight++;
    long remaining = request.spec().deadlineNanos() - nowNanos;
    long timeout = Math.min(remaining, retries.attemptTimeoutNanos(request, endpoint));
    out.add(
        new RouterAction.Send(
            request.spec().ticket(), request.attempt(), endpoint.share(), timeout, remaining));
  }

  private void finish(RequestLifecycle request) {
    RequestSpec spec = request.spec();
    queue.remove(spec.team(), request);
    delayed.removeIf(d -> d.request() == request);
    deadlines.remove(request);
    requests.remove(spec.ticket());
    request.end();
    if (request.holdsUnit()) {
      request.setHoldsUnit(false);
      limiter.release(spec.team());
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
