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
import io.cactusspring.daemon.platform.SyncAnswer;
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
 * Claims shards and runs their owners: ticks them, carries out their commands and brings them the
 * answers. Its state is guarded by the lock of the cell.
 *
 * @since 0.1
 */
public final class ShardController implements CellListener {
  private static final EventLog LOG = EventLog.of(ShardController.class);

  /** An unchanged list is looked at again this often, to drop workers that are gone. */
  private static final long RELIST_MILLIS = 30_000;

  /** A longer time between two ticks means that this process was paused. */
  private static final long PAUSE_MILLIS = 1_000;

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
  private final Set<ShardOwner> fenced = Collections.newSetFromMap(new WeakHashMap<>());
  private final Map<ShardOwner, Listing> listings = new WeakHashMap<>();
  private Map<String, WorkerInfo> workersByName = Map.of();
  private long lastTickMillis;
  private boolean hadAuthority = true;
  private boolean tickRequested;
  private boolean draining;

  /** What an owner's list of workers was made from. */
  private record Listing(long hostsVersion, long configRevision, long period) {}

  /** What the controller works with. */
  public record Parts(
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

  public ShardController(Parts parts) {
    this.cell = parts.cell();
    this.context = parts.context();
    this.clock = parts.clock();
    this.claims = parts.claims();
    this.peers = parts.peers();
    this.authority = parts.authority();
    this.log = parts.log();
    this.hosts = parts.hosts();
    this.agents = parts.agents();
    this.settings = parts.settings();
    this.policy = parts.policy();
  }

  /** Owners of this host's shards; to be used under the lock of the cell alone. */
  public List<ShardOwner> owners() {
    return cell.locked(() -> List.copyOf(owners.values()));
  }

  /** Stops starting work, and lets peers claim the shards. */
  public void drain() {
    draining = true;
  }

  /** Claims what is free, and lets every owner decide. */
  public void tick() {
    List<Runnable> actions = new ArrayList<>();
    cell.locked(
        () -> {
          tickRequested = false;
          notePause();
          decide(actions);
          return null;
        });
    actions.forEach(Runnable::run);
  }

  @Override
  public void applied(long offset, LogRecord entry, List<StateChange> changes) {
    long now = clock.millis();
    changes.forEach(c -> changed(c, now));
    requestTick();
  }

  @Override
  public void restored() {
    owners.clear();
    claims.disown(cell.nextOffset());
    cell.read(
        s -> {
          s.configuration().shards().forEach(h -> s.claim(h).ifPresent(c -> claimed(h, c)));
          return null;
        });
  }

  private void changed(StateChange change, long nowMillis) {
    switch (change) {
      case StateChange.ClaimChanged c when c.claim() == null -> owners.remove(c.shard());
      case StateChange.ClaimChanged c -> claimed(c.shard(), c.claim());
      case StateChange.ConfigurationChanged c -> owners.values().forEach(this::setTeams);
      default -> {}
    }
    owners.values().forEach(o -> o.onStateChange(change, nowMillis));
  }

  private void claimed(ShardId shard, Claim claim) {
    claims.claimRead(shard, claim);
    ShardOwner before = owners.remove(shard);
    if (claims.isMine(claim)) {
      LOG.event(Event.SHARD_CLAIMED, shard, claim.epoch());
      owners.put(shard, owner(shard, claim));
    } else if (before != null) {
      LOG.event(Event.SHARD_LOST, shard, claim.owner(), claim.epoch());
    }
  }

  private ShardOwner owner(ShardId shard, Claim claim) {
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

  /** After a pause of this process, the silence of peers counts from now. */
  private void notePause() {
    long now = clock.millis();
    if (lastTickMillis != 0 && now - lastTickMillis > PAUSE_MILLIS) {
      peers.resumed(now);
    }
    lastTickMillis = now;
  }

  private void decide(List<Runnable> actions) {
    long now = clock.millis();
    boolean mayStart = authority.mayStart(now) && !draining;
    noteAuthority(mayStart, now);
    Permission permission = new Permission(mayStart, authority.mayRenew(now), log.available());
    owners.values().forEach(o -> decide(o, now, permission, actions));
    if (log.caughtUp() && log.available() && !draining) {
      claim(now, actions);
    }
  }

  private void claim(long nowMillis, List<Runnable> actions) {
    List<LogRecord> wanted =
        cell.read(
            s -> {
              claims.settle(s);
              return List.<LogRecord>copyOf(claims.claims(s, peers, nowMillis));
            });
    if (!wanted.isEmpty()) {
      actions.add(() -> log.append(wanted));
    }
  }

  private void noteAuthority(boolean now, long nowMillis) {
    if (hadAuthority && !now && !draining) {
      owners
          .keySet()
          .forEach(s -> LOG.event(Event.AUTHORITY_LOST, s, authority.logAgeMillis(nowMillis)));
    }
    if (!hadAuthority && now) {
      owners.keySet().forEach(s -> LOG.event(Event.AUTHORITY_REGAINED, s));
    }
    hadAuthority = now;
  }

  private void decide(
      ShardOwner owner, long nowMillis, Permission permission, List<Runnable> actions) {
    if (owner.fenced()) {
      if (fenced.add(owner)) {
        authority.distrust(nowMillis);
      }
      return;
    }
    listWorkers(owner, nowMillis);
    List<LogRecord> records = new ArrayList<>();
    owner
        .tick(nowMillis, permission)
        .forEach(c -> collect(owner, c, workersByName, records, actions));
    if (!records.isEmpty()) {
      actions.add(() -> log.append(records));
    }
  }

  /** Tells an owner of its workers when the list, the zone's shards or the owner are new. */
  private void listWorkers(ShardOwner owner, long nowMillis) {
    Listing current =
        new Listing(hosts.version(), cell.configuration().revision(), nowMillis / RELIST_MILLIS);
    if (current.equals(listings.put(owner, current))) {
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
      answered(owner, o -> o.onStartResult(start.task(), StartResult.UNKNOWN, clock.millis()));
      return;
    }
    agents
        .start(worker.address(), owner.epoch(), start)
        .onSuccess(a -> answered(owner, o -> o.onStartResult(start.task(), a, clock.millis())));
  }

  private void sync(ShardOwner owner, OwnerCommand.Sync sync, WorkerInfo worker) {
    if (worker == null) {
      answered(owner, o -> o.onSyncFailed(sync.worker()));
      return;
    }
    long sentAt = clock.millis();
    agents
        .sync(worker.address(), owner.epoch(), sync)
        .onSuccess(a -> answered(owner, o -> synced(o, sync.worker(), a, sentAt)));
  }

  private void synced(ShardOwner owner, String worker, SyncAnswer answer, long sentAtMillis) {
    switch (answer) {
      case SyncAnswer.Reported r ->
          owner.onSyncReport(worker, r.report(), sentAtMillis, clock.millis());
      case SyncAnswer.Fenced f -> owner.onSyncFenced(worker);
      case SyncAnswer.Failed f -> owner.onSyncFailed(worker);
    }
  }

  /** Brings an answer to the owner that asked, unless it has been replaced. */
  private void answered(ShardOwner owner, Consumer<ShardOwner> answer) {
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
