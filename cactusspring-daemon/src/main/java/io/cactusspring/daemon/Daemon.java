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
 * Creates the components of one entry host, starts them and shuts them down.
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
  private static final long TICK_INTERVAL_MILLIS = 50;
  private static final long BUDGET_INTERVAL_MILLIS = 500;
  private static final long REBALANCE_INTERVAL_MILLIS = 1_000;
  private static final long TEAM_GAUGES_INTERVAL_MILLIS = 1_000;
  private static final long HANDOVER_TIMEOUT_MILLIS = 5_000;

  /**
   * Time after the start of a drain in which new requests are still accepted, because the load
   * balancer continues to direct callers here for a while.
   */
  private static final long DRAIN_DELAY_MILLIS = 500;

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
  private final RebalanceController rebalancing;
  private final PeerMesh peerMesh;
  private final EntryHostPeerHandler peerHandler;
  private final HostView view;
  private final RequestService requests;
  private final CallerServer callerServer;
  private final TeamGauges teamGauges;
  private final Promise<Void> ready = Promise.promise();
  private final Promise<Void> stopped = Promise.promise();
  private final List<Long> timers = new CopyOnWriteArrayList<>();
  private Future<Void> drainResult;

  /** Creates the components; no port is opened before {@link #start}. */
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
    PeerLogRelay logRelay = new PeerLogRelay(clock);
    PeerLoads peerLoads = new PeerLoads();
    long timeout = settings.callTimeoutMillis();
    hosts = new HostListController(new HttpHostList(http, hostListAddress(), timeout));
    log =
        new LogController(
            vertx,
            cell,
            new HttpPlatformLog(http, settings.platformLog().toString(), timeout),
            authority,
            logRelay,
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
                placementPolicy()));
    DeferredRequestLoad requestLoad = new DeferredRequestLoad();
    budgets =
        new BudgetController(cell, shards, log, peerLoads, clock, settings.name(), requestLoad);
    snapshots = new SnapshotController(cell, log, shards, settings.snapshotEveryRecords());
    view = new HostView(settings, cell, log, hosts, budgets, peerLoads, clock);
    requests = new RequestService(vertx, RequestSettings.builder().build(), view, registry);
    requestLoad.service = requests;
    peerHandler =
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
                logRelay,
                peerLoads));
    peerMesh = new PeerMesh(vertx, context, clock, hello(), settings, peerHandler);
    logRelay.setMesh(peerMesh);
    RefusalWriter refusals = new RefusalWriter(registry);
    ConfirmingAppender appender = new ConfirmingAppender(cell, log, context);
    HomeShardSelector homeSelector =
        new HomeShardSelector(cell, hosts, shards, peerLoads, settings.zone(), clock);
    rebalancing = new RebalanceController(cell, shards, log, homeSelector);
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
                logRelay,
                peerLoads,
                clock,
                () -> cell.locked(() -> authority.logAgeMillis(clock.millis()))));
    callerServer =
        new CallerServer(
            vertx,
            settings,
            new CallerServer.Dependencies(
                view,
                refusals,
                registry,
                requests,
                new SubmissionApi(
                    cell, appender, homeSelector, hosts, new WaitReasons(shards), refusals),
                new NoteApi(cell, appender, refusals),
                status,
                this::drain));
    cell.addListener(shards);
    cell.addListener(budgets);
    cell.addListener(snapshots);
    cell.addListener(appender);
    List<String> peerNames = settings.peers().stream().map(PeerSettings::name).toList();
    new Gauges(registry, cell, log, shards, logRelay, peerNames, clock, authority).register();
    teamGauges = new TeamGauges(registry, cell, budgets);
  }

  /**
   * Opens the ports and starts the controllers; completes when callers can connect, and fails with
   * a {@link ListenException} when a port cannot be opened.
   */
  public Future<Void> start() {
    LOG.event(Event.STARTED, settings.name(), settings.zone(), incarnation);
    return reportListenFailure(peerMesh.listen(settings.peerAddress()), settings.peerAddress())
        .compose(x -> reportListenFailure(callerServer.listen(), settings.callerAddress()))
        .onSuccess(x -> context.runOnContext(y -> startControllers()));
  }

  private static Future<Void> reportListenFailure(Future<Void> listening, Address address) {
    return listening.recover(e -> Future.failedFuture(new ListenException(address, e)));
  }

  /**
   * Completes when this host has read the host list and has reached the end of the log, or of what
   * a peer knew of the log.
   */
  public Future<Void> ready() {
    return ready.future();
  }

  /**
   * Shuts down gracefully: peers take over the shards and requests in flight are completed, then
   * all ports and connections are closed. Requests that are still open after {@link
   * DaemonSettings#drainMillis} are cut off. Repeated calls return the same future.
   */
  public synchronized Future<Void> drain() {
    if (drainResult == null) {
      drainResult = startDrain();
    }
    return drainResult;
  }

  private Future<Void> startDrain() {
    LOG.event(Event.DRAINING, openRequests(), settings.drainMillis());
    shards.drain();
    peerHandler.drain();
    return vertx
        .timer(DRAIN_DELAY_MILLIS, TimeUnit.MILLISECONDS)
        .onSuccess(x -> view.drain())
        .compose(x -> Future.join(requests.drain(), awaitHandover()))
        .timeout(settings.drainMillis(), TimeUnit.MILLISECONDS)
        .otherwiseEmpty()
        .compose(x -> close());
  }

  /** Completes when this host has shut down. */
  public Future<Void> stopped() {
    return stopped.future();
  }

  /**
   * Waits until peers have claimed this host's shards, for at most {@link
   * #HANDOVER_TIMEOUT_MILLIS}. Only peers in the same zone can claim them; without such peers there
   * is nothing to wait for.
   */
  private Future<Void> awaitHandover() {
    if (zonePeers().isEmpty()) {
      return Future.succeededFuture();
    }
    Promise<Void> handedOver = Promise.promise();
    long deadlineMillis = clock.millis() + HANDOVER_TIMEOUT_MILLIS;
    vertx.setPeriodic(
        TICK_INTERVAL_MILLIS,
        t -> {
          if (shards.owners().isEmpty() || clock.millis() > deadlineMillis) {
            vertx.cancelTimer(t);
            handedOver.tryComplete();
          }
        });
    return handedOver.future();
  }

  private Future<Void> close() {
    timers.forEach(vertx::cancelTimer);
    log.stop();
    LOG.event(Event.STOPPED, openRequests());
    requests.close();
    return callerServer
        .close()
        .compose(x -> peerMesh.close())
        .compose(x -> http.close())
        .onComplete(stopped);
  }

  private int openRequests() {
    return cell.configuration().teams().stream().mapToInt(t -> requests.inFlight(t.name())).sum();
  }

  private void startControllers() {
    log.start();
    hosts.refresh();
    schedule(settings.hostListMillis(), t -> hosts.refresh());
    schedule(settings.heartbeatMillis(), t -> peerMesh.heartbeat());
    schedule(TICK_INTERVAL_MILLIS, t -> shards.tick());
    schedule(BUDGET_INTERVAL_MILLIS, t -> budgets.tick());
    schedule(BUDGET_INTERVAL_MILLIS, t -> snapshots.tick());
    schedule(REBALANCE_INTERVAL_MILLIS, t -> rebalancing.tick());
    schedule(TEAM_GAUGES_INTERVAL_MILLIS, t -> teamGauges.refresh());
    schedule(TICK_INTERVAL_MILLIS, this::checkReady);
  }

  private void schedule(long periodMillis, Handler<Long> action) {
    timers.add(vertx.setPeriodic(periodMillis, action));
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

  private String hostListAddress() {
    return settings.hostList().toString();
  }

  private OwnerSettings ownerSettings() {
    return new OwnerSettings(
        settings.leaseMillis(),
        settings.workerSyncMillis(),
        settings.callTimeoutMillis(),
        settings.renewAuthorityMillis());
  }

  private PlacementPolicy placementPolicy() {
    double totalWeight = Math.max(1, settings.waitingWeight() + settings.packingWeight());
    return PlacementPolicy.builder().packingWeight(settings.packingWeight() / totalWeight).build();
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

  /** Load of the request service, which is created after the budget controller that reads it. */
  private static final class DeferredRequestLoad implements BudgetController.RequestLoad {
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
