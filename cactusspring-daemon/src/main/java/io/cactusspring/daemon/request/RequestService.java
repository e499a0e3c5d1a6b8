package io.cactusspring.daemon.request;

import io.cactusspring.core.model.ConfigItem;
import io.cactusspring.core.request.EndpointInFlight;
import io.cactusspring.core.request.ExecutionStatus;
import io.cactusspring.core.request.RequestRules;
import io.cactusspring.core.request.RequestSettings;
import io.cactusspring.core.request.RequestSpec;
import io.cactusspring.core.request.RouterAction;
import io.cactusspring.core.request.ServiceRouter;
import io.cactusspring.core.request.TeamLimiter;
import io.cactusspring.daemon.http.BodyMemoryLimiter;
import io.cactusspring.daemon.http.CellView;
import io.cactusspring.daemon.http.Filters;
import io.cactusspring.daemon.http.Refusal;
import io.cactusspring.daemon.http.RefusalException;
import io.cactusspring.daemon.http.RefusalReason;
import io.cactusspring.daemon.http.RefusalWriter;
import io.cactusspring.daemon.http.RequestAttributes;
import io.cactusspring.daemon.http.TeamResolver;
import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Accepts callers' requests, forwards them to executors and returns the answers.
 *
 * <pre>{@code
 * RequestService requests = new RequestService(vertx, settings, cell, metrics);
 * requests.mount(router);
 * }</pre>
 *
 * @since 0.1
 */
public final class RequestService {
  private static final String PATH = "/v1/services/:service/requests";
  private static final long TICK_MILLIS = 2;
  private static final long REFRESH_MILLIS = 100;

  private final Vertx vertx;
  private final RequestSettings settings;
  private final CellView cell;
  private final RefusalWriter refusals;
  private final RequestMetrics metrics;
  private final ExecutorClients executors;
  private final EndpointDirectory directory;
  private final BodyMemoryLimiter bodies;
  private final TeamLimiter limiter;
  private final OverLimitDemand overLimit = new OverLimitDemand();
  private final InFlightIds ids = new InFlightIds();
  private final Map<String, SynchronizedServiceRouter> routers = new ConcurrentHashMap<>();
  private final Map<Long, PendingRequest> pending = new ConcurrentHashMap<>();
  private final AtomicLong tickets = new AtomicLong();
  private final AtomicInteger openRequests = new AtomicInteger();
  private final Promise<Void> drained = Promise.promise();
  private final AtomicBoolean ticking = new AtomicBoolean();
  private final long refreshTimer;
  private volatile boolean drainRequested;

  public RequestService(
      Vertx vertx, RequestSettings settings, CellView cell, MeterRegistry registry) {
    this.vertx = vertx;
    this.settings = settings;
    this.cell = cell;
    this.refusals = new RefusalWriter(registry);
    this.metrics = new RequestMetrics(registry);
    this.executors = new ExecutorClients(vertx, settings);
    this.directory = new EndpointDirectory(cell);
    this.bodies = new BodyMemoryLimiter(settings.maxHeldBytes());
    this.limiter = new TeamLimiter(cell::requestBudget);
    this.refreshTimer = vertx.setPeriodic(REFRESH_MILLIS, t -> refresh());
  }

  /** Mounts the route for requests on a router. Several routers may share one service. */
  public void mount(Router router) {
    Filters filters = new Filters(cell, refusals);
    router
        .post(PATH)
        .handler(this::countOpenRequest)
        .handler(filters.requestId())
        .handler(filters.ready())
        .handler(filters.authenticated())
        .handler(filters.teamOnly())
        .handler(bodies.reserve(Filters.MAX_REQUEST_BYTES, refusals))
        .handler(filters.body(Filters.MAX_REQUEST_BYTES))
        .handler(this::accept)
        .failureHandler(filters.failures());
  }

  /** Returns the number of requests that are being read, served or answered. */
  public int openRequests() {
    return openRequests.get();
  }

  /** Returns the units of a team's limit that requests hold on this entry host. */
  public int inFlight(String team) {
    return limiter.inUse(team);
  }

  /**
   * Returns the number of a team's requests that wait for an executor or were recently refused for
   * lack of budget.
   */
  public int waiting(String team) {
    return overLimit.units(team, System.nanoTime())
        + routers.values().stream().mapToInt(s -> s.waiting(team)).sum();
  }

  /** Returns the requests that this entry host has in flight at each endpoint. */
  public List<EndpointInFlight> endpointLoads() {
    return routers.values().stream().flatMap(s -> s.endpointLoads().stream()).toList();
  }

  /**
   * Completes when every request has its final answer. Call it only when {@link CellView#draining}
   * returns true, since requests that arrive before that are still accepted.
   */
  public Future<Void> drain() {
    drainRequested = true;
    checkDrained();
    return drained.future();
  }

  /** Closes all connections to executors. Call it after {@link #drain} has completed. */
  public void close() {
    vertx.cancelTimer(refreshTimer);
    executors.close();
  }

  private void countOpenRequest(RoutingContext ctx) {
    openRequests.incrementAndGet();
    ctx.addEndHandler(
        r -> {
          openRequests.decrementAndGet();
          checkDrained();
        });
    ctx.next();
  }

  private void checkDrained() {
    if (drainRequested && openRequests.get() == 0 && pending.isEmpty()) {
      drained.tryComplete();
    }
  }

  private void accept(RoutingContext ctx) {
    try {
      String service = knownService(ctx);
      RequestSpec spec = specOf(ctx);
      if (!ids.tryAcquire(spec)) {
        throw new RefusalException(duplicateOf(spec));
      }
      start(ctx, service, spec);
    } catch (RefusalException e) {
      refusals.write(ctx, e.refusal());
    }
  }

  private String knownService(RoutingContext ctx) throws RefusalException {
    String name = ctx.pathParam("service");
    return cell.configuration()
        .service(name)
        .map(ConfigItem.Service::name)
        .orElseThrow(
            () ->
                new RefusalException(
                    Refusal.of(
                        RefusalReason.UNKNOWN_SERVICE,
                        "service \"" + name + "\" is not configured")));
  }

  private RequestSpec specOf(RoutingContext ctx) throws RefusalException {
    CallerHeaders headers = CallerHeaders.read(ctx.request());
    ConfigItem.Team team =
        TeamResolver.resolveTeam(
            cell.configuration(), RequestAttributes.identity(ctx), headers.queue());
    long arrival = RequestAttributes.arrivalNanos(ctx);
    return new RequestSpec(
        tickets.incrementAndGet(),
        RequestAttributes.id(ctx),
        team.name(),
        team.share(),
        headers.idempotent(),
        arrival,
        arrival + TimeUnit.MILLISECONDS.toNanos(headers.deadlineMillis()));
  }

  /**
   * Returns the refusal of a duplicate id. The outcome is unknown, since the request already in
   * flight with this id may be running.
   */
  private static Refusal duplicateOf(RequestSpec spec) {
    return Refusal.of(
            RefusalReason.SUBMISSION_CONFLICT, "a request with id " + spec.id() + " is in flight")
        .withRan(ExecutionStatus.UNKNOWN);
  }

  private void start(RoutingContext ctx, String service, RequestSpec spec) {
    Buffer body = ctx.body().buffer() == null ? Buffer.buffer() : ctx.body().buffer();
    PendingRequest p = new PendingRequest(spec, ctx, vertx.getOrCreateContext(), body);
    pending.put(spec.ticket(), p);
    scheduleTick();
    SynchronizedServiceRouter router = routerOf(service);
    ctx.response().closeHandler(v -> perform(router, router.abandon(spec.ticket())));
    perform(router, router.offer(spec));
  }

  private SynchronizedServiceRouter routerOf(String service) {
    return routers.computeIfAbsent(service, this::createRouter);
  }

  private SynchronizedServiceRouter createRouter(String service) {
    ServiceRouter router =
        new ServiceRouter(
            settings,
            RequestRules.standard(),
            limiter,
            new SplittableRandom(),
            cell::remoteInFlight);
    SynchronizedServiceRouter synchronizedRouter = new SynchronizedServiceRouter(router);
    perform(synchronizedRouter, synchronizedRouter.update(directory.sharesOf(service)));
    return synchronizedRouter;
  }

  /** Schedules the next tick if requests are pending and none is scheduled. */
  private void scheduleTick() {
    if (!pending.isEmpty() && ticking.compareAndSet(false, true)) {
      vertx.setTimer(TICK_MILLIS, t -> tick());
    }
  }

  private void tick() {
    ticking.set(false);
    routers.values().forEach(s -> perform(s, s.tick()));
    scheduleTick();
  }

  private void refresh() {
    routers.forEach((n, s) -> perform(s, s.update(directory.sharesOf(n))));
    executors.retain(directory.namesOf(routers.keySet()));
  }

  private void perform(SynchronizedServiceRouter router, List<RouterAction> actions) {
    actions.forEach(a -> perform(router, a));
  }

  private void perform(SynchronizedServiceRouter router, RouterAction action) {
    PendingRequest p = pending.get(action.ticket());
    switch (action) {
      case RouterAction.Send s -> p.onEventLoop(() -> send(router, p, s));
      case RouterAction.Deliver d -> p.onEventLoop(() -> deliver(p, d));
      case RouterAction.Refuse r -> p.onEventLoop(() -> refuse(p, r));
      case RouterAction.Drop d -> finish(p);
      case RouterAction.Retry r -> metrics.countRetry(r.reason());
    }
  }

  private void send(SynchronizedServiceRouter router, PendingRequest p, RouterAction.Send s) {
    AttemptSpec spec =
        new AttemptSpec(
            p.spec().id(),
            s.attempt(),
            p.body(),
            s.timeoutNanos(),
            TimeUnit.NANOSECONDS.toMillis(s.remainingNanos()));
    executors
        .execute(s.endpoint(), spec)
        .onSuccess(
            r -> {
              p.setAnswer(r.answer());
              perform(router, router.attemptEnded(s.ticket(), s.attempt(), r.outcome()));
            });
  }

  private void deliver(PendingRequest p, RouterAction.Deliver d) {
    metrics.recordServed(p.spec());
    ExecutorAnswer answer = p.answer();
    var response =
        p.routing()
            .response()
            .putHeader("x-executor", d.endpoint())
            .putHeader("x-attempts", Integer.toString(d.attempt()));
    if (answer.contentType() != null) {
      response.putHeader("content-type", answer.contentType());
    }
    finish(p);
    response.end(answer.body());
  }

  private void refuse(PendingRequest p, RouterAction.Refuse r) {
    if (r.kind() == RouterAction.RefusalKind.OVER_LIMIT) {
      overLimit.recordRefusal(p.spec().team(), System.nanoTime());
    }
    RefusalReason reason = RefusalReason.valueOf(r.kind().name());
    finish(p);
    refusals.write(
        p.routing(),
        Refusal.of(reason, messageOf(r))
            .withRan(r.executionStatus())
            .withRetryAfterMillis(r.retryAfterMillis()));
  }

  private static String messageOf(RouterAction.Refuse r) {
    return switch (r.kind()) {
      case OVER_LIMIT -> "this entry host has no budget of the team";
      case QUEUE_FULL -> "too many requests of the team are waiting";
      case NO_ENDPOINT -> "no executor accepts requests of this service";
      case DEADLINE -> "the deadline cannot be met";
      case ENDPOINT_FAILED -> "the executor failed or did not answer in time";
    };
  }

  private void finish(PendingRequest p) {
    pending.remove(p.spec().ticket());
    ids.release(p.spec());
    checkDrained();
  }
}
