package io.cactusspring.core.fuzz;

import io.cactusspring.core.membership.Authority;
import io.cactusspring.core.membership.ClaimPolicy;
import io.cactusspring.core.membership.PeerTable;
import io.cactusspring.core.model.AvailabilityZone;
import io.cactusspring.core.model.BudgetAccount;
import io.cactusspring.core.model.LogRecord;
import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.ShardId;
import io.cactusspring.core.shard.OwnerCommand;
import io.cactusspring.core.shard.Permission;
import io.cactusspring.core.shard.ShardOwner;
import io.cactusspring.core.shard.StartResult;
import io.cactusspring.core.shard.WorkerReport;
import io.cactusspring.core.state.Claim;
import io.cactusspring.core.state.ClusterState;
import io.cactusspring.core.state.StateChange;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;

/** One process of an entry host: the real decisions, joined to the fakes. */
final class Host {
  private static final long READ_TIMEOUT_MILLIS = 1_000;
  private static final int TICKS_PER_HEARTBEAT = 3;
  private static final int TICKS_PER_LISTING = 10;
  private static final Resources ANY_ROOM = new Resources(1_000_000, 1_000_000, 100);

  private final World world;
  private final String name;
  private final AvailabilityZone zone;
  private final String incarnation;
  private final Clock clock;
  private final ClusterState state;
  private final PeerTable peers;
  private final Authority authority;
  private final ClaimPolicy policy;
  private final TreeMap<ShardId, ShardOwner> owners = new TreeMap<>();
  private final Map<String, ShardOwner> given = new HashMap<>();
  private final ArrayDeque<Runnable> deferred = new ArrayDeque<>();
  private final TreeMap<Long, LogRecord> history = new TreeMap<>();
  private boolean isReading;
  private boolean isReadable;
  private boolean hasCaughtUp;
  private boolean isAlive = true;
  private boolean isPaused;
  private int ticks;
  boolean draining;
  long pauseAfterTickMillis;

  Host(World world, String name, AvailabilityZone zone, String incarnation, Clock clock) {
    this.world = world;
    this.name = name;
    this.zone = zone;
    this.incarnation = incarnation;
    this.clock = clock;
    state = new ClusterState();
    peers = new PeerTable(localMillis());
    world.names().stream().filter(n -> !n.equals(name)).forEach(n -> peers.add(n, World.zoneOf(n)));
    List<String> zonePeers =
        world.names().stream()
            .filter(n -> !n.equals(name) && World.zoneOf(n).equals(zone))
            .toList();
    authority = new Authority(World.MEMBERSHIP, zonePeers);
    policy = new ClaimPolicy(name, incarnation, zone, World.MEMBERSHIP);
  }

  String name() {
    return name;
  }

  ClusterState state() {
    return state;
  }

  boolean isAlive() {
    return isAlive;
  }

  boolean isWorking() {
    return isAlive && !isPaused;
  }

  void kill() {
    isAlive = false;
  }

  void pause(long millis) {
    if (isPaused) {
      return;
    }
    isPaused = true;
    world.events().after(millis, this::wake);
  }

  private void wake() {
    isPaused = false;
    while (!deferred.isEmpty() && !isPaused) {
      deferred.poll().run();
    }
  }

  /** Does something in this process: later if it is paused, never if it is dead. */
  void run(Runnable action) {
    if (isAlive && isPaused) {
      deferred.add(() -> run(action));
    } else if (isAlive) {
      action.run();
    }
  }

  void tick() {
    if (!isWorking()) {
      return;
    }
    ticks++;
    read();
    if (ticks % TICKS_PER_HEARTBEAT == 0) {
      world.others(name).forEach(this::heartbeat);
    }
    owners.values().forEach(this::tick);
    owners.values().stream().filter(ShardOwner::fenced).forEach(o -> distrust());
    owners.values().removeIf(ShardOwner::fenced);
    if (hasCaughtUp && logAvailable() && !draining) {
      policy.settle(state);
      policy.claims(state, peers, localMillis()).forEach(c -> append(List.of(c), r -> {}));
    }
    if (pauseAfterTickMillis > 0) {
      pause(pauseAfterTickMillis);
      pauseAfterTickMillis = 0;
    }
  }

  private void distrust() {
    authority.distrust(localMillis());
  }

  private long localMillis() {
    return clock.read(world.events().now());
  }

  // The log.

  boolean logAvailable() {
    return isReadable;
  }

  /** Appends over the platform, or over a peer that reaches it. */
  void append(List<LogRecord> records, Consumer<World.Appended> answer) {
    world.append(this, records, a -> run(() -> answer.accept(a)));
  }

  private void read() {
    if (isReading) {
      return;
    }
    isReading = true;
    long sentAt = localMillis();
    long from = state.nextOffset();
    world.read(
        this, from, answer -> run(() -> readAnswered(sentAt, from, answer)), READ_TIMEOUT_MILLIS);
  }

  private void readAnswered(long sentAt, long from, World.Read answer) {
    isReading = false;
    isReadable = answer != null;
    if (answer == null) {
      return;
    }
    long offset = from;
    for (LogRecord r : answer.records()) {
      if (offset == state.nextOffset()) {
        apply(offset, r);
      }
      offset++;
    }
    if (state.nextOffset() >= answer.next()) {
      hasCaughtUp = true;
      authority.logRead(sentAt - answer.ageMillis());
    }
  }

  /** Gives a peer what this host has read, with the age of that knowledge. */
  World.Read relay(long from) {
    long age = authority.logAgeMillis(localMillis());
    return new World.Read(
        List.copyOf(history.tailMap(from).values()), state.nextOffset(), age + age / 50 + 1);
  }

  private void apply(long offset, LogRecord r) {
    history.put(offset, r);
    List<StateChange> changes = state.apply(offset, world.mutate(state, r));
    changes.forEach(this::changed);
    if (r instanceof LogRecord.BudgetMoved m) {
      readBack(m);
    }
    world.applied(this, r, changes);
  }

  private void changed(StateChange change) {
    if (change instanceof StateChange.ClaimChanged c && c.claim() != null) {
      policy.claimRead(c.shard(), c.claim());
      claimed(c.shard(), c.claim());
    }
    owners.values().forEach(o -> o.onStateChange(change, localMillis()));
  }

  private void claimed(ShardId shard, Claim claim) {
    owners.remove(shard);
    if (policy.isMine(claim)) {
      ShardOwner owner = world.owner(shard, claim.epoch(), state, localMillis());
      owners.put(shard, owner);
      owner.updateWorkers(world.listed(zone), localMillis());
    }
  }

  /** Moves half of what a shard of this host does not use of its part of a team's limit. */
  void giveFromShards(String team, BudgetAccount to, String id) {
    owners.values().stream().findFirst().ifPresent(o -> give(o, team, to, id));
  }

  private void give(ShardOwner owner, String team, BudgetAccount to, String id) {
    int spare = state.budget(team, owner.account()) - owner.running(team);
    if (spare < 1 || !given.isEmpty()) {
      return;
    }
    int amount = (spare + 1) / 2;
    long revision = state.configuration().revisionOf("team/" + team);
    LogRecord.BudgetMoved moved =
        new LogRecord.BudgetMoved(id, team, owner.account(), to, amount, revision, owner.epoch());
    owner.withholdBudget(team, amount);
    given.put(id, owner);
    append(List.of(moved), a -> {});
  }

  private void readBack(LogRecord.BudgetMoved moved) {
    ShardOwner giver = given.remove(moved.id());
    if (giver != null) {
      giver.withholdBudget(moved.team(), -moved.amount());
    }
  }

  /** Gives runs that wait for room to shards of the other zone. */
  void moveWaiting(int max) {
    owners.forEach(
        (shard, owner) ->
            state.configuration().shards().stream()
                .filter(s -> !s.equals(shard))
                .forEach(s -> owner.moveWaitingRuns(s, World.WORKER_TOTAL.times(2), max)));
  }

  // Peers.

  private void heartbeat(String peer) {
    long sentAt = localMillis();
    long next = state.nextOffset();
    boolean leaving = draining;
    world.tell(name, peer, p -> p.heard(name, incarnation, next, leaving, sentAt));
  }

  private void heard(String peer, String from, long next, boolean leaving, long sentAt) {
    peers.heard(peer, from, next, leaving, localMillis());
    if (hasCaughtUp && policy.promises(next)) {
      world.tell(name, peer, p -> p.acknowledged(name, from, sentAt));
    }
  }

  private void acknowledged(String peer, String to, long sentAt) {
    if (incarnation.equals(to)) {
      authority.promised(peer, sentAt);
    }
  }

  // Workers.

  private void tick(ShardOwner owner) {
    long now = localMillis();
    if (ticks % TICKS_PER_LISTING == 0) {
      owner.updateWorkers(world.listed(zone), now);
    }
    long trueNow = world.events().now();
    List<OwnerCommand> commands = owner.tick(now, permission(now));
    List<LogRecord> records =
        commands.stream()
            .filter(OwnerCommand.Append.class::isInstance)
            .map(c -> ((OwnerCommand.Append) c).entry())
            .toList();
    if (!records.isEmpty()) {
      world.events().after(1, () -> run(() -> append(records, a -> {})));
    }
    commands.forEach(c -> world.events().after(1, () -> run(() -> send(owner, c, now, trueNow))));
  }

  /** Gives waiting runs of each owned shard to another shard, as the balancing of shards does. */
  void moveRuns(int max) {
    owners.values().forEach(o -> moveRuns(o, max));
  }

  private void moveRuns(ShardOwner owner, int max) {
    state.configuration().shards().stream()
        .filter(s -> !s.equals(owner.shard()))
        .findFirst()
        .ifPresent(to -> owner.moveWaitingRuns(to, ANY_ROOM, max));
  }

  private Permission permission(long now) {
    boolean always = !world.guards().contains(Guards.AUTHORITY);
    return new Permission(
        always || authority.mayStart(now) && !draining,
        always || authority.mayRenew(now),
        logAvailable());
  }

  private void send(ShardOwner owner, OwnerCommand command, long tickedAt, long trueTick) {
    switch (command) {
      case OwnerCommand.Append a -> {}
      case OwnerCommand.Start s -> start(owner, s, trueTick);
      case OwnerCommand.Sync s -> sync(owner, s, tickedAt, trueTick);
    }
  }

  private void start(ShardOwner owner, OwnerCommand.Start s, long trueTick) {
    world.callWorker(
        this,
        s.worker(),
        trueTick,
        false,
        w -> w.start(world.seenEpoch(owner.epoch()), s),
        a -> run(() -> started(owner, s, a)));
  }

  private void started(ShardOwner owner, OwnerCommand.Start s, StartResult answer) {
    StartResult known = answer == null ? StartResult.UNKNOWN : answer;
    owner.onStartResult(s.task(), known, localMillis());
  }

  private void sync(ShardOwner owner, OwnerCommand.Sync s, long sentAt, long trueTick) {
    world.callWorker(
        this,
        s.worker(),
        trueTick,
        true,
        w -> w.sync(world.seenEpoch(owner.epoch()), s),
        a -> run(() -> synced(owner, s, a, sentAt)));
  }

  private void synced(
      ShardOwner owner, OwnerCommand.Sync sync, Optional<WorkerReport> answer, long sentAt) {
    if (answer == null) {
      owner.onSyncFailed(sync.worker());
    } else if (answer.isEmpty()) {
      owner.onSyncFenced(sync.worker());
    } else {
      owner.onSyncReport(sync.worker(), brief(answer.get(), sync), sentAt, localMillis());
    }
  }

  /** Names renewed tasks by their ids alone, as most answers of the daemon's adapter do. */
  private static WorkerReport brief(WorkerReport report, OwnerCommand.Sync sync) {
    return new WorkerReport(
        report.incarnation(),
        report.running().stream()
            .map(
                r ->
                    sync.renew().contains(r.task())
                        ? new WorkerReport.Running(r.task(), null, null)
                        : r)
            .toList(),
        report.ended());
  }
}
