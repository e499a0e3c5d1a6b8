package io.cactusspring.daemon.request;

import io.cactusspring.core.model.ConfigItem;
import io.cactusspring.core.request.EndpointInFlight;
import io.cactusspring.core.request.Ran;
import io.cactusspring.core.request.RequestRules;
import io.cactusspring.core.request.RequestSettings;
import io.cactusspring.core.request.RequestSpec;
import io.cactusspring.core.request.RouterAction;
import io.cactusspring.core.request.ServiceRouter;
import io.cactusspring.core.request.TeamUnits;
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
 * Takes callers' requests, has executors serve them and answers.
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
  private final TeamUnits units;
  private final OverLimitDemand overLimit = new OverLimitDemand();
  private final InFlightIds ids = new InFlightIds();
  private final Map<String, ServiceShard> shards = new ConcurrentHashMap<>();
  private final Map<Long, PendingRequest> pending = new ConcurrentHashMap<>();
  private final AtomicLong tickets = new AtomicLong();
  private final AtomicInteger active = new AtomicInteger();
  private final Promise<Void> drained = Promise.promise();
  private final AtomicBoolean ticking = new AtomicBoolean();
  private final long refreshTimer;
  private volatile boolean drainAsked;

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
    this.units = new TeamUnits(cell::requestBudget);
    this.refreshTimer = vertx.setPeriodic(REFRESH_MILLIS, t -> refresh());
  }

  /** Mounts the call on a router; several routers may share one service. */
  public void mount(Router router) {
    Filters filters = new Filters(cell, refusals);
    router
        .post(PATH)
        .handler(this::enter)
        .handler(filters.requestId())
        .handler(filters.ready())
        .handler(filters.authenticated())
        .handler(filters.teamOnly())
        .handler(bodies.reserve(Filters.MAX_REQUEST_BYTES, refusals))
        .handler(filters.body(Filters.MAX_REQUEST_BYTES))
        .handler(this::accept)
        .failureHandler(filters.failures());
  }

  /** Requests that are being read, served or answered. */
  public int open() {
    return active.get();
  }

  /** Units of a team's limit that requests hold on this entry host. */
  public int inFlight(String team) {
    return units.held(team);
  }

  /** Requests of a team that wait for an executor, or lately found no budget here. */
  public int waiting(String team) {
    return overLimit.units(team, System.nanoTime())
        + shards.values().stream().mapToInt(s -> s.waiting(team)).sum();
  }

  /** Requests that this entry host has in flight at each endpoint. */
  public List<EndpointInFlight> endpointLoads() {
    return shards.values().stream().flatMap(s -> s.endpointLoads().stream()).toList();
  }

  /**
   * Completes when every request has its final answer. Call it after {@link CellView#draining}
   * holds, since requests that arrive before that are still taken.
   */
  public Future<Void> drain() {
    drainAsked = true;
    checkDrained();
    return drained.future();
  }

  /** Closes all connections to executors; call it after {@link #drain}. */
  public void close() {
    vertx.cancelTimer(refreshTimer);
    executors.close();
  }

  private void enter(RoutingContext ctx) {
    active.incrementAndGet();
    ctx.addEndHandler(
        r -> {
          active.decrementAndGet();
          checkDrained();
        });
    ctx.next();
  }

  private void checkDrained() {
    if (drainAsked && active.get() == 0 && pending.isEmpty()) {
      drained.tryComplete();
    }
  }

  private void accept(RoutingContext ctx) {
    try {
      String service = knownService(ctx);
      RequestSpec spec = specOf(ctx);
      if (!ids.tryEnter(spec)) {
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
                    Refusal.of(RefusalReason.UNKNOWN_SERVICE, "no service \"" + name + "\"")));
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

  /** The other request of this id may be running, so this one may not say "not run". */
  private static Refusal duplicateOf(RequestSpec spec) {
    return Refusal.of(
            RefusalReason.SUBMISSION_CONFLICT, "a request with id " + spec.id() + " is in flight")
        .withRan(Ran.UNKNOWN);
  }

  private void start(RoutingContext ctx, String service, RequestSpec spec) {
    Buffer body = ctx.body().buffer() == null ? Buffer.buffer() : ctx.body().buffer();
    PendingRequest p = new PendingRequest(spec, ctx, vertx.getOrCreateContext(), body);
    pending.put(spec.ticket(), p);
    tickLater();
    ServiceShard shard = shard(service);
    ctx.response().closeHandler(v -> perform(shard, shard.abandon(spec.ticket())));
    perform(shard, shard.offer(spec));
  }

  private ServiceShard shard(String service) {
    return shards.computeIfAbsent(service, this::openShard);
  }

  private ServiceShard openShard(String service) {
    ServiceRouter router =
        new ServiceRouter(
            settings, RequestRules.standard(), units, new SplittableRandom(), cell::remoteInFlight);
    ServiceShard shard = new ServiceShard(router);
    perform(shard, shard.update(directory.sharesOf(service)));
    return shard;
  }

  /** Keeps ticking while there are requests, and not without. */
  private void tickLater() {
    if (!pending.isEmpty() && ticking.compareAndSet(false, true)) {
      vertx.setTimer(TICK_MILLIS, t -> tick());
    }
  }

  private void tick() {
    ticking.set(false);
    shards.values().forEach(s -> perform(s, s.tick()));
    tickLater();
  }

  private void refresh() {
    shards.forEach((n, s) -> perform(s, s.update(directory.sharesOf(n))));
    executors.retain(directory.namesOf(shards.keySet()));
  }

  private void perform(ServiceShard shard, List<RouterAction> actions) {
    actions.forEach(a -> perform(shard, a));
  }

  private void perform(ServiceShard shard, RouterAction action) {
    PendingRequest p = pending.get(action.ticket());
    switch (action) {
      case RouterAction.Send s -> p.onEventLoop(() -> send(shard, p, s));
      case RouterAction.Deliver d -> p.onEventLoop(() -> deliver(p, d));
      case RouterAction.Refuse r -> p.onEventLoop(() -> refuse(p, r));
      case RouterAction.Drop d -> forget(p);
      case RouterAction.Retry r -> metrics.countRetry(r.reason());
    }
  }

  private void send(ServiceShard shard, PendingRequest p, RouterAction.Send s) {
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
              perform(shard, shard.ended(s.ticket(), s.attempt(), r.outcome()));
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
    forget(p);
    response.end(answer.body());
  }

  private void refuse(PendingRequest p, RouterAction.Refuse r) {
    if (r.kind() == RouterAction.Kind.OVER_LIMIT) {
      overLimit.refused(p.spec().team(), System.nanoTime());
    }
    RefusalReason reason = RefusalReason.valueOf(r.kind().name());
    forget(p);
    refusals.write(
        p.routing(),
        Refusal.of(reason, messageOf(r))
            .withRan(r.ran())
            .withRetryAfterMillis(r.retryAfterMillis()));
  }

  private static String messageOf(RouterAction.Refuse r) {
    return switch (r.kind()) {
      case OVER_LIMIT -> "the team has no part of its limit here";
      case QUEUE_FULL -> "too many requests of the team wait";
      case NO_ENDPOINT -> "no executor takes requests of this service";
      case DEADLINE -> "the deadline cannot be met";
      case ENDPOINT_FAILED -> "the executor failed or stayed silent";
    };
  }

  private void forget(PendingRequest p) {
    pending.remove(p.spec().ticket());
    ids.leave(p.spec());
    checkDrained();
  }
}
