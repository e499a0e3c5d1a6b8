package io.cactusspring.daemon.control;

import io.cactusspring.core.membership.Authority;
import io.cactusspring.core.membership.ClaimPolicy;
import io.cactusspring.core.membership.PeerTable;
import io.cactusspring.core.model.ConfigItem;
import io.cactusspring.core.model.LogRecord;
import io.cactusspring.core.model.ShardId;
import io.cactusspring.core.model.WorkerInfo;
import io.cactusspring.core.placement.PlacementPolicy;
import io.cactusspring.core.placement.Placer;
import io.cactusspring.core.shard.OwnerCommand;
import io.cactusspring.core.shard.OwnerSettings;
import io.cactusspring.core.shard.Permission;
import io.cactusspring.core.shard.ShardOwner;
import io.cactusspring.core.shard.StartResult;
import io.cactusspring.core.state.Claim;
import io.cactusspring.core.state.ClusterState;
import io.cactusspring.core.state.StateChange;
import io.cactusspring.daemon.cell.Cell;
import io.cactusspring.daemon.cell.CellListener;
import io.cactusspring.daemon.cell.MonotonicClock;
import io.cactusspring.daemon.log.Event;
import io.cactusspring.daemon.log.EventLog;
import io.cactusspring.daemon.platform.SyncResult;
import io.cactusspring.daemon.platform.WorkerAgent;
import io.vertx.core.Context;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.WeakHashMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Claims shards and runs their owners: ticks them, executes their commands and passes the answers
 * back to them. Its state is guarded by the lock of the cell.
 *
 * @since 0.1
 */
public final class ShardController implements CellListener {
  private static final EventLog LOG = EventLog.of(ShardController.class);

  /** Interval at which owners get an unchanged worker list again, to drop workers that are gone. */
  private static final long RELIST_INTERVAL_MILLIS = 30_000;

  /** A longer interval between two ticks indicates that this process was paused. */
  private static final long PAUSE_THRESHOLD_MILLIS = 1_000;

  private final Cell cell;
  private final Context context;
  private final MonotonicClock clock;
  private final ClaimPolicy claims;
  private final PeerTable peers;
  private final Authority authority;
  private final LogController log;
  private final HostListController hosts;
  private final WorkerAgent agents;
  private final OwnerSettings settings;
  private final PlacementPolicy policy;
  private final Map<ShardId, ShardOwner> owners = new TreeMap<>();
  private final Set<ShardOwner> handledFencedOwners =
      Collections.newSetFromMap(new WeakHashMap<>());
  private final Map<ShardOwner, WorkerListVersion> workerListVersions = new WeakHashMap<>();
  private Map<String, WorkerInfo> workersByName = Map.of();
  private long lastTickMillis;
  private boolean hadAuthority = true;
  private boolean tickRequested;
  private boolean draining;

  /** Versions of the inputs from which an owner's worker list was last built. */
  private record WorkerListVersion(long hostsVersion, long configRevision, long period) {}

  /** Collaborators of the controller. */
  public record Dependencies(
      Cell cell,
      Context context,
      MonotonicClock clock,
      ClaimPolicy claims,
      PeerTable peers,
      Authority authority,
      LogController log,
      HostListController hosts,
      WorkerAgent agents,
      OwnerSettings settings,
      PlacementPolicy policy) {}

  public ShardController(Dependencies dependencies) {
    this.cell = dependencies.cell();
    this.context = dependencies.context();
    this.clock = dependencies.clock();
    this.claims = dependencies.claims();
    this.peers = dependencies.peers();
    this.authority = dependencies.authority();
    this.log = dependencies.log();
    this.hosts = dependencies.hosts();
    this.agents = dependencies.agents();
    this.settings = dependencies.settings();
    this.policy = dependencies.policy();
  }

  /** Returns the owners of this host's shards. Use them only under the lock of the cell. */
  public List<ShardOwner> owners() {
    return cell.locked(() -> List.copyOf(owners.values()));
  }

  /** Stops starting work and claiming shards, so that peers can claim the shards of this host. */
  public void drain() {
    draining = true;
  }

  /** Ticks every owner, claims free shards and executes the resulting commands. */
  public void tick() {
    List<Runnable> actions = new ArrayList<>();
    cell.locked(
        () -> {
          tickRequested = false;
          detectPause();
          tickOwners(actions);
          return null;
        });
    actions.forEach(Runnable::run);
  }

  @Override
  public void applied(long offset, LogRecord entry, List<StateChange> changes) {
    long now = clock.millis();
    changes.forEach(c -> onStateChange(c, now));
    requestTick();
  }

  @Override
  public void restored() {
    owners.clear();
    claims.relinquishClaims(cell.nextOffset());
    cell.read(
        s -> {
          s.configuration().shards().forEach(h -> s.claim(h).ifPresent(c -> onClaim(h, c)));
          return null;
        });
  }

  private void onStateChange(StateChange change, long nowMillis) {
    switch (change) {
      case StateChange.ClaimChanged c when c.claim() == null -> owners.remove(c.shard());
      case StateChange.ClaimChanged c -> onClaim(c.shard(), c.claim());
      case StateChange.ConfigurationChanged c -> owners.values().forEach(this::setTeams);
      default -> {}
    }
    owners.values().forEach(o -> o.onStateChange(change, nowMillis));
  }

  private void onClaim(ShardId shard, Claim claim) {
    claims.recordClaim(shard, claim);
    ShardOwner previous = owners.remove(shard);
    if (claims.isOwnClaim(claim)) {
      LOG.event(Event.SHARD_CLAIMED, shard, claim.epoch());
      owners.put(shard, createOwner(shard, claim));
    } else if (previous != null) {
      LOG.event(Event.SHARD_LOST, shard, claim.owner(), claim.epoch());
    }
  }

  private ShardOwner createOwner(ShardId shard, Claim claim) {
    Placer placer = new Placer(policy);
    ClusterState state = cell.read(s -> s);
    ShardOwner owner =
        new ShardOwner(shard, claim.epoch(), settings, placer, state, clock.millis());
    setTeams(owner);
    return owner;
  }

  private void setTeams(ShardOwner owner) {
    Map<String, Integer> shares =
        cell.configuration().teams().stream()
            .collect(Collectors.toMap(ConfigItem.Team::name, ConfigItem.Team::share));
    owner.placer().setTeams(shares);
  }

  private void requestTick() {
    if (!tickRequested && !owners.isEmpty()) {
      tickRequested = true;
      context.runOnContext(x -> tick());
    }
  }

  /** Restarts the silence timers of the peers after a pause of this process. */
  private void detectPause() {
    long now = clock.millis();
    if (lastTickMillis != 0 && now - lastTickMillis > PAUSE_THRESHOLD_MILLIS) {
      peers.resetSilence(now);
    }
    lastTickMillis = now;
  }

  private void tickOwners(List<Runnable> actions) {
    long now = clock.millis();
    boolean mayStart = authority.mayStart(now) && !draining;
    logAuthorityChange(mayStart, now);
    Permission permission = new Permission(mayStart, authority.mayRenew(now), log.available());
    owners.values().forEach(o -> tickOwner(o, now, permission, actions));
    if (log.caughtUp() && log.available() && !draining) {
      claimShards(now, actions);
    }
  }

  private void claimShards(long nowMillis, List<Runnable> actions) {
    List<LogRecord> claimRecords =
        cell.read(
            s -> {
              claims.removeSupersededClaims(s);
              return List.<LogRecord>copyOf(claims.claims(s, peers, nowMillis));
            });
    if (!claimRecords.isEmpty()) {
      actions.add(() -> log.append(claimRecords));
    }
  }

  private void logAuthorityChange(boolean mayStart, long nowMillis) {
    if (hadAuthority && !mayStart && !draining) {
      owners
          .keySet()
          .forEach(s -> LOG.event(Event.AUTHORITY_LOST, s, authority.logAgeMillis(nowMillis)));
    }
    if (!hadAuthority && mayStart) {
      owners.keySet().forEach(s -> LOG.event(Event.AUTHORITY_REGAINED, s));
    }
    hadAuthority = mayStart;
  }

  private void tickOwner(
      ShardOwner owner, long nowMillis, Permission permission, List<Runnable> actions) {
    if (owner.fenced()) {
      if (handledFencedOwners.add(owner)) {
        authority.invalidateEvidence(nowMillis);
      }
      return;
    }
    updateWorkers(owner, nowMillis);
    List<LogRecord> records = new ArrayList<>();
    owner
        .tick(nowMillis, permission)
        .forEach(c -> collect(owner, c, workersByName, records, actions));
    if (!records.isEmpty()) {
      actions.add(() -> log.append(records));
    }
  }

  /**
   * Passes an owner its workers if the host list, the configuration or the owner has changed since
   * the last call, or the relist interval has passed.
   */
  private void updateWorkers(ShardOwner owner, long nowMillis) {
    WorkerListVersion current =
        new WorkerListVersion(
            hosts.version(), cell.configuration().revision(), nowMillis / RELIST_INTERVAL_MILLIS);
    if (current.equals(workerListVersions.put(owner, current))) {
      return;
    }
    owner.updateWorkers(workers(owner.shard()), nowMillis);
    workersByName =
        hosts.workers().stream().collect(Collectors.toMap(WorkerInfo::name, w -> w, (a, b) -> b));
  }

  private List<WorkerInfo> workers(ShardId shard) {
    int shards =
        cell.configuration().zones().stream()
            .filter(z -> z.name().equals(shard.zone().name()))
            .mapToInt(ConfigItem.Zone::shards)
            .findFirst()
            .orElse(1);
    return hosts.workers(shard, shards);
  }

  private void collect(
      ShardOwner owner,
      OwnerCommand command,
      Map<String, WorkerInfo> workers,
      List<LogRecord> records,
      List<Runnable> actions) {
    switch (command) {
      case OwnerCommand.Append a -> records.add(a.entry());
      case OwnerCommand.Start s -> actions.add(() -> start(owner, s, workers.get(s.worker())));
      case OwnerCommand.Sync s -> actions.add(() -> sync(owner, s, workers.get(s.worker())));
    }
  }

  private void start(ShardOwner owner, OwnerCommand.Start start, WorkerInfo worker) {
    if (worker == null) {
      deliverAnswer(owner, o -> o.onStartResult(start.task(), StartResult.UNKNOWN, clock.millis()));
      return;
    }
    agents
        .start(worker.address(), owner.epoch(), start)
        .onSuccess(
            a -> deliverAnswer(owner, o -> o.onStartResult(start.task(), a, clock.millis())));
  }

  private void sync(ShardOwner owner, OwnerCommand.Sync sync, WorkerInfo worker) {
    if (worker == null) {
      deliverAnswer(owner, o -> o.onSyncFailed(sync.worker()));
      return;
    }
    long sentAt = clock.millis();
    agents
        .sync(worker.address(), owner.epoch(), sync)
        .onSuccess(a -> deliverAnswer(owner, o -> onSyncResult(o, sync.worker(), a, sentAt)));
  }

  private void onSyncResult(ShardOwner owner, String worker, SyncResult result, long sentAtMillis) {
    switch (result) {
      case SyncResult.Reported r ->
          owner.onSyncReport(worker, r.report(), sentAtMillis, clock.millis());
      case SyncResult.Fenced f -> owner.onSyncFenced(worker);
      case SyncResult.Failed f -> owner.onSyncFailed(worker);
    }
  }

  /** Passes an answer to the owner that sent the command, unless that owner has been replaced. */
  private void deliverAnswer(ShardOwner owner, Consumer<ShardOwner> answer) {
    cell.locked(
        () -> {
          if (owners.get(owner.shard()) == owner) {
            answer.accept(owner);
            requestTick();
          }
          return null;
        });
  }
}
