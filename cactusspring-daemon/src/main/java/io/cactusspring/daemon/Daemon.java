package io.cactusspring.daemon;

import io.cactusspring.core.membership.Authority;
import io.cactusspring.core.membership.ClaimPolicy;
import io.cactusspring.core.membership.MembershipSettings;
import io.cactusspring.core.membership.PeerTable;
import io.cactusspring.core.placement.PlacementPolicy;
import io.cactusspring.core.request.RequestSettings;
import io.cactusspring.core.shard.OwnerSettings;
import io.cactusspring.daemon.cell.Cell;
import io.cactusspring.daemon.cell.MonotonicClock;
import io.cactusspring.daemon.control.BudgetController;
import io.cactusspring.daemon.control.EntryHostPeerHandler;
import io.cactusspring.daemon.control.HomeShardSelector;
import io.cactusspring.daemon.control.HostListController;
import io.cactusspring.daemon.control.LogController;
import io.cactusspring.daemon.control.PeerLoads;
import io.cactusspring.daemon.control.PeerLogRelay;
import io.cactusspring.daemon.control.RebalanceController;
import io.cactusspring.daemon.control.ShardController;
import io.cactusspring.daemon.control.SnapshotController;
import io.cactusspring.daemon.http.RefusalWriter;
import io.cactusspring.daemon.log.Event;
import io.cactusspring.daemon.log.EventLog;
import io.cactusspring.daemon.peers.PeerMesh;
import io.cactusspring.daemon.platform.HttpHostList;
import io.cactusspring.daemon.platform.HttpPlatformLog;
import io.cactusspring.daemon.platform.HttpWorkerAgent;
import io.cactusspring.daemon.platform.JsonClient;
import io.cactusspring.daemon.request.RequestService;
import io.cactusspring.daemon.settings.Address;
import io.cactusspring.daemon.settings.DaemonSettings;
import io.cactusspring.daemon.settings.PeerSettings;
import io.cactusspring.daemon.work.ConfirmingAppender;
import io.cactusspring.daemon.work.NoteApi;
import io.cactusspring.daemon.work.StatusApi;
import io.cactusspring.daemon.work.SubmissionApi;
import io.cactusspring.daemon.work.WaitReasons;
import io.cactusspring.protocol.gen.EndpointLoad;
import io.cactusspring.protocol.gen.Hello;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * All parts of one entry host, put together.
 *
 * <pre>{@code
 * Daemon daemon = new Daemon(vertx, settings, registry);
 * daemon.start().await();
 * daemon.drain().await();
 * }</pre>
 *
 * @since 0.1
 */
public final class Daemon {
  private static final EventLog LOG = EventLog.of(Daemon.class);
  private static final long TICK_MILLIS = 50;
  private static final long BUDGET_MILLIS = 500;
  private static final long REBALANCE_MILLIS = 1_000;
  private static final long TEAM_GAUGES_MILLIS = 1_000;
  private static final long HAND_OVER_MILLIS = 5_000;

  /** Time for which callers still come after the balancer could see that this host drains. */
  private static final long LAME_DUCK_MILLIS = 500;

  private final Vertx vertx;
  private final Context context;
  private final DaemonSettings settings;
  private final String incarnation = UUID.randomUUID().toString();
  private final MonotonicClock clock = MonotonicClock.system();
  private final JsonClient http;
  private final Cell cell;
  private final Authority authority;
  private final HostListController hosts;
  private final LogController log;
  private final ShardController shards;
  private final BudgetController budgets;
  private final SnapshotController snapshots;
  private final RebalanceController balancing;
  private final PeerMesh mesh;
  private final EntryHostPeerHandler entryHost;
  private final HostView view;
  private final RequestService requests;
  private final CallerServer callers;
  private final TeamGauges teamGauges;
  private final Promise<Void> ready = Promise.promise();
  private final Promise<Void> stopped = Promise.promise();
  private final List<Long> timers = new CopyOnWriteArrayList<>();
  private Future<Void> drained;

  /** Puts the parts together; nothing is opened before {@link #start}. */
  public Daemon(Vertx vertx, DaemonSettings settings, PrometheusMeterRegistry registry) {
    this.vertx = vertx;
    this.context = vertx.getOrCreateContext();
    this.settings = settings;
    http = new JsonClient(vertx);
    cell = new Cell((int) settings.keepRecords());
    MembershipSettings membership =
        new MembershipSettings(
            settings.authorityMillis(), settings.renewAuthorityMillis(), settings.takeoverMillis());
    authority = new Authority(membership, zonePeers());
    PeerTable peers = new PeerTable(clock.millis());
    settings.peers().forEach(p -> peers.add(p.name(), p.zone()));
    ClaimPolicy claims = new ClaimPolicy(settings.name(), incarnation, settings.zone(), membership);
    PeerLogRelay peerLogs = new PeerLogRelay(clock);
    PeerLoads hints = new PeerLoads();
    long timeout = settings.callTimeoutMillis();
    hosts = new HostListController(new HttpHostList(http, hostList(), timeout));
    log =
        new LogController(
            vertx,
            cell,
            new HttpPlatformLog(http, settings.platformLog().toString(), timeout),
            authority,
            peerLogs,
            clock,
            settings.logWaitMillis());
    shards =
        new ShardController(
            new ShardController.Dependencies(
                cell,
                context,
                clock,
                claims,
                peers,
                authority,
                log,
                hosts,
                new HttpWorkerAgent(http, settings.leaseMillis(), timeout),
                ownerSettings(),
                policy()));
    RequestLoads loads = new RequestLoads();
    budgets = new BudgetController(cell, shards, log, hints, clock, settings.name(), loads);
    snapshots = new SnapshotController(cell, log, shards, settings.snapshotEveryRecords());
    view = new HostView(settings, cell, log, hosts, budgets, hints, clock);
    requests = new RequestService(vertx, RequestSettings.builder().build(), view, registry);
    loads.service = requests;
    entryHost =
        new EntryHostPeerHandler(
            new EntryHostPeerHandler.Dependencies(
                cell,
                clock,
                settings.zone(),
                peers,
                authority,
                claims,
                log,
                shards,
                budgets,
                this::endpointLoads,
                peerLogs,
                hints));
    mesh = new PeerMesh(vertx, context, clock, hello(), settings, entryHost);
    peerLogs.setMesh(mesh);
    RefusalWriter refusals = new RefusalWriter(registry);
    ConfirmingAppender appender = new ConfirmingAppender(cell, log, context);
    HomeShardSelector homes =
        new HomeShardSelector(cell, hosts, shards, hints, settings.zone(), clock);
    balancing = new RebalanceController(cell, shards, log, homes);
    StatusApi status =
        new StatusApi(
            new StatusApi.Sources(
                settings.name(),
                incarnation,
                cell,
                view,
                log,
                shards,
                budgets,
                peerLogs,
                hints,
                clock,
                () -> cell.locked(() -> authority.logAgeMillis(clock.millis()))));
    callers =
        new CallerServer(
            vertx,
            settings,
            new CallerServer.Apis(
                view,
                refusals,
                registry,
                requests,
                new SubmissionApi(cell, appender, homes, hosts, new WaitReasons(shards), refusals),
                new NoteApi(cell, appender, refusals),
                status,
                this::drain));
    cell.addListener(shards);
    cell.addListener(budgets);
    cell.addListener(snapshots);
    cell.addListener(appender);
    List<String> peerNames = settings.peers().stream().map(PeerSettings::name).toList();
    new Gauges(registry, cell, log, shards, peerLogs, peerNames, clock, authority).register();
    teamGauges = new TeamGauges(registry, cell, budgets);
  }

  /**
   * Opens the ports and starts the controllers; completes when callers can connect, and fails with
   * a {@link ListenException} when a port cannot be opened.
   */
  public Future<Void> start() {
    LOG.event(Event.STARTED, settings.name(), settings.zone(), incarnation);
    return opened(mesh.listen(settings.peerAddress()), settings.peerAddress())
        .compose(x -> opened(callers.listen(), settings.callerAddress()))
        .onSuccess(x -> context.runOnContext(y -> startControl()));
  }

  private static Future<Void> opened(Future<Void> listening, Address address) {
    return listening.recover(e -> Future.failedFuture(new ListenException(address, e)));
  }

  /** Completes when this host knows the configuration and the hosts. */
  public Future<Void> ready() {
    return ready.future();
  }

  /**
   * Shuts down without cutting off a request: peers take over the shards, requests in flight get
   * their answers, then everything is closed.
   */
  public synchronized Future<Void> drain() {
    if (drained == null) {
      drained = drainOnce();
    }
    return drained;
  }

  private Future<Void> drainOnce() {
    LOG.event(Event.DRAINING, openRequests(), settings.drainMillis());
    shards.drain();
    entryHost.drain();
    return vertx
        .timer(LAME_DUCK_MILLIS, TimeUnit.MILLISECONDS)
        .onSuccess(x -> view.drain())
        .compose(x -> Future.join(requests.drain(), handOver()))
        .timeout(settings.drainMillis(), TimeUnit.MILLISECONDS)
        .otherwiseEmpty()
        .compose(x -> close());
  }

  /** Completes when this host has shut down. */
  public Future<Void> stopped() {
    return stopped.future();
  }

  /** Waits until peers have claimed this host's shards, if there are any to do so. */
  private Future<Void> handOver() {
    if (zonePeers().isEmpty()) {
      return Future.succeededFuture();
    }
    Promise<Void> done = Promise.promise();
    long until = clock.millis() + HAND_OVER_MILLIS;
    vertx.setPeriodic(
        TICK_MILLIS,
        t -> {
          if (shards.owners().isEmpty() || clock.millis() > until) {
            vertx.cancelTimer(t);
            done.tryComplete();
          }
        });
    return done.future();
  }

  private Future<Void> close() {
    timers.forEach(vertx::cancelTimer);
    log.stop();
    LOG.event(Event.STOPPED, openRequests());
    requests.close();
    return callers
        .close()
        .compose(x -> mesh.close())
        .compose(x -> http.close())
        .onComplete(stopped);
  }

  private int openRequests() {
    return cell.configuration().teams().stream().mapToInt(t -> requests.inFlight(t.name())).sum();
  }

  private void startControl() {
    log.start();
    hosts.refresh();
    every(settings.hostListMillis(), t -> hosts.refresh());
    every(settings.heartbeatMillis(), t -> mesh.heartbeat());
    every(TICK_MILLIS, t -> shards.tick());
    every(BUDGET_MILLIS, t -> budgets.tick());
    every(BUDGET_MILLIS, t -> snapshots.tick());
    every(REBALANCE_MILLIS, t -> balancing.tick());
    every(TEAM_GAUGES_MILLIS, t -> teamGauges.refresh());
    every(TICK_MILLIS, this::checkReady);
  }

  private void every(long millis, Handler<Long> action) {
    timers.add(vertx.setPeriodic(millis, action));
  }

  private void checkReady(long timer) {
    if (view.ready()) {
      vertx.cancelTimer(timer);
      LOG.event(Event.READY, cell.configuration().revision());
      ready.tryComplete();
    }
  }

  private List<String> zonePeers() {
    return settings.peers().stream()
        .filter(p -> p.zone().equals(settings.zone()))
        .map(p -> p.name())
        .toList();
  }

  private String hostList() {
    return settings.hostList().toString();
  }

  private OwnerSettings ownerSettings() {
    return new OwnerSettings(
        settings.leaseMillis(),
        settings.workerSyncMillis(),
        settings.callTimeoutMillis(),
        settings.renewAuthorityMillis());
  }

  private PlacementPolicy policy() {
    double all = Math.max(1, settings.waitingWeight() + settings.packingWeight());
    return PlacementPolicy.builder().packingWeight(settings.packingWeight() / all).build();
  }

  private Hello hello() {
    return new Hello(settings.name(), settings.zone().name(), incarnation, settings.cell());
  }

  private List<EndpointLoad> endpointLoads() {
    return requests.endpointLoads().stream()
        .filter(e -> e.inFlight() > 0)
        .map(e -> new EndpointLoad(e.endpoint(), e.inFlight()))
        .toList();
  }

  /** Load of the request service, which is made after those that ask for it. */
  private static final class RequestLoads implements BudgetController.RequestLoad {
    private RequestService service;

    @Override
    public int inFlight(String team) {
      return service.inFlight(team);
    }

    @Override
    public int waiting(String team) {
      return service.waiting(team);
    }
  }
}
