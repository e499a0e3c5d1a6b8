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

/** One process of an entry host: the production decision code, connected to the fakes. */
final class Host {
  private static final long READ_TIMEOUT_MILLIS = 1_000;
  private static final int TICKS_PER_HEARTBEAT = 3;
  private static final int TICKS_PER_LISTING = 10;
  private static final Resources UNLIMITED_ROOM = new Resources(1_000_000, 1_000_000, 100);

  private final Simulation simulation;
  private final String name;
  private final AvailabilityZone zone;
  private final String incarnation;
  private final DriftingClock clock;
  private final ClusterState state;
  private final PeerTable peers;
  private final Authority authority;
  private final ClaimPolicy policy;
  private final TreeMap<ShardId, ShardOwner> owners = new TreeMap<>();
  private final Map<String, ShardOwner> unreadMoves = new HashMap<>();
  private final ArrayDeque<Runnable> deferred = new ArrayDeque<>();
  private final TreeMap<Long, LogRecord> appliedRecords = new TreeMap<>();
  private boolean isReadInFlight;
  private boolean isLogAvailable;
  private boolean hasCaughtUp;
  private boolean isAlive = true;
  private boolean isPaused;
  private int ticks;
  boolean draining;
  long pauseAfterTickMillis;

  Host(
      Simulation simulation,
      String name,
      AvailabilityZone zone,
      String incarnation,
      DriftingClock clock) {
    this.simulation = simulation;
    this.name = name;
    this.zone = zone;
    this.incarnation = incarnation;
    this.clock = clock;
    state = new ClusterState();
    peers = new PeerTable(localMillis());
    simulation.hostNames().stream()
        .filter(n -> !n.equals(name))
        .forEach(n -> peers.add(n, Simulation.zoneOf(n)));
    List<String> zonePeers =
        simulation.hostNames().stream()
            .filter(n -> !n.equals(name) && Simulation.zoneOf(n).equals(zone))
            .toList();
    authority = new Authority(Simulation.MEMBERSHIP, zonePeers);
    policy = new ClaimPolicy(name, incarnation, zone, Simulation.MEMBERSHIP);
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
    simulation.events().schedule(millis, this::resume);
  }

  private void resume() {
    isPaused = false;
    while (!deferred.isEmpty() && !isPaused) {
      deferred.poll().run();
    }
  }

  /** Runs an action in this process: after the pause if it is paused, never if it was killed. */
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
      simulation.otherHosts(name).forEach(this::heartbeat);
    }
    owners.values().forEach(this::tick);
    owners.values().stream().filter(ShardOwner::fenced).forEach(o -> invalidateEvidence());
    owners.values().removeIf(ShardOwner::fenced);
    if (hasCaughtUp && logAvailable() && !draining) {
      policy.removeSupersededClaims(state);
      policy.claims(state, peers, localMillis()).forEach(c -> append(List.of(c), r -> {}));
    }
    if (pauseAfterTickMillis > 0) {
      pause(pauseAfterTickMillis);
      pauseAfterTickMillis = 0;
    }
  }

  private void invalidateEvidence() {
    authority.invalidateEvidence(localMillis());
  }

  private long localMillis() {
    return clock.read(simulation.events().now());
  }

  // The log.

  boolean logAvailable() {
    return isLogAvailable;
  }

  /** Appends through the platform, or through a peer that reaches the platform. */
  void append(List<LogRecord> records, Consumer<Simulation.AppendResult> answer) {
    simulation.append(this, records, a -> run(() -> answer.accept(a)));
  }

  private void read() {
    if (isReadInFlight) {
      return;
    }
    isReadInFlight = true;
    long sentAt = localMillis();
    long from = state.nextOffset();
    simulation.read(
        this,
        from,
        answer -> run(() -> handleReadAnswer(sentAt, from, answer)),
        READ_TIMEOUT_MILLIS);
  }

  private void handleReadAnswer(long sentAt, long from, Simulation.ReadResult answer) {
    isReadInFlight = false;
    isLogAvailable = answer != null;
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
      authority.recordLogRead(sentAt - answer.ageMillis());
    }
  }

  /** Returns the records that this host has read, for a peer, with the age of the last read. */
  Simulation.ReadResult relay(long from) {
    long age = authority.logAgeMillis(localMillis());
    return new Simulation.ReadResult(
        List.copyOf(appliedRecords.tailMap(from).values()), state.nextOffset(), age + age / 50 + 1);
  }

  private void apply(long offset, LogRecord r) {
    appliedRecords.put(offset, r);
    List<StateChange> changes = state.apply(offset, simulation.mutate(state, r));
    changes.forEach(this::onStateChange);
    if (r instanceof LogRecord.BudgetMoved m) {
      budgetMoveRead(m);
    }
    simulation.recordApplied(this, r, changes);
  }

  private void onStateChange(StateChange change) {
    if (change instanceof StateChange.ClaimChanged c && c.claim() != null) {
      policy.recordClaim(c.shard(), c.claim());
      claimRead(c.shard(), c.claim());
    }
    owners.values().forEach(o -> o.onStateChange(change, localMillis()));
  }

  private void claimRead(ShardId shard, Claim claim) {
    owners.remove(shard);
    if (policy.isOwnClaim(claim)) {
      ShardOwner owner = simulation.owner(shard, claim.epoch(), state, localMillis());
      owners.put(shard, owner);
      owner.updateWorkers(simulation.listedWorkers(zone), localMillis());
    }
  }

  /** Moves half of the unused part of a team's limit that the first owned shard holds. */
  void moveShardBudget(String team, BudgetAccount to, String id) {
    owners.values().stream().findFirst().ifPresent(o -> moveBudget(o, team, to, id));
  }

  private void moveBudget(ShardOwner owner, String team, BudgetAccount to, String id) {
    int spare = state.budget(team, owner.account()) - owner.running(team);
    if (spare < 1 || !unreadMoves.isEmpty()) {
      return;
    }
    int amount = (spare + 1) / 2;
    long revision = state.configuration().revisionOf("team/" + team);
    LogRecord.BudgetMoved moved =
        new LogRecord.BudgetMoved(id, team, owner.account(), to, amount, revision, owner.epoch());
    owner.withholdBudget(team, amount);
    unreadMoves.put(id, owner);
    append(List.of(moved), a -> {});
  }

  private void budgetMoveRead(LogRecord.BudgetMoved moved) {
    ShardOwner owner = unreadMoves.remove(moved.id());
    if (owner != null) {
      owner.withholdBudget(moved.team(), -moved.amount());
    }
  }

  /** Moves runs that wait for capacity to the other shards. */
  void moveWaitingRuns(int max) {
    owners.forEach(
        (shard, owner) ->
            state.configuration().shards().stream()
                .filter(s -> !s.equals(shard))
                .forEach(s -> owner.moveWaitingRuns(s, Simulation.WORKER_TOTAL.times(2), max)));
  }

  // Peers.

  private void heartbeat(String peer) {
    long sentAt = localMillis();
    long next = state.nextOffset();
    boolean leaving = draining;
    simulation.sendMessage(
        name, peer, p -> p.handleHeartbeat(name, incarnation, next, leaving, sentAt));
  }

  private void handleHeartbeat(String peer, String from, long next, boolean leaving, long sentAt) {
    peers.recordHeartbeat(peer, from, next, leaving, localMillis());
    if (hasCaughtUp && policy.mayPromise(next)) {
      simulation.sendMessage(name, peer, p -> p.handleAcknowledgement(name, from, sentAt));
    }
  }

  private void handleAcknowledgement(String peer, String to, long sentAt) {
    if (incarnation.equals(to)) {
      authority.recordPromise(peer, sentAt);
    }
  }

  // Workers.

  private void tick(ShardOwner owner) {
    long now = localMillis();
    if (ticks % TICKS_PER_LISTING == 0) {
      owner.updateWorkers(simulation.listedWorkers(zone), now);
    }
    long trueNow = simulation.events().now();
    List<OwnerCommand> commands = owner.tick(now, permission(now));
    List<LogRecord> records =
        commands.stream()
            .filter(OwnerCommand.Append.class::isInstance)
            .map(c -> ((OwnerCommand.Append) c).entry())
            .toList();
    if (!records.isEmpty()) {
      simulation.events().schedule(1, () -> run(() -> append(records, a -> {})));
    }
    commands.forEach(
        c -> simulation.events().schedule(1, () -> run(() -> send(owner, c, now, trueNow))));
  }

  /** Moves waiting runs of each owned shard to another shard, as shard rebalancing does. */
  void moveRuns(int max) {
    owners.values().forEach(o -> moveRuns(o, max));
  }

  private void moveRuns(ShardOwner owner, int max) {
    state.configuration().shards().stream()
        .filter(s -> !s.equals(owner.shard()))
        .findFirst()
        .ifPresent(to -> owner.moveWaitingRuns(to, UNLIMITED_ROOM, max));
  }

  private Permission permission(long now) {
    boolean always = !simulation.guards().contains(Guard.AUTHORITY);
    return new Permission(
        always || authority.mayStart(now) && !draining,
        always || authority.mayRenew(now),
        logAvailable());
  }

  private void send(ShardOwner owner, OwnerCommand command, long tickedAt, long trueTickMillis) {
    switch (command) {
      case OwnerCommand.Append a -> {}
      case OwnerCommand.Start s -> start(owner, s, trueTickMillis);
      case OwnerCommand.Sync s -> sync(owner, s, tickedAt, trueTickMillis);
    }
  }

  private void start(ShardOwner owner, OwnerCommand.Start s, long trueTickMillis) {
    simulation.callWorker(
        this,
        s.worker(),
        trueTickMillis,
        false,
        w -> w.start(simulation.epochForWorker(owner.epoch()), s),
        a -> run(() -> onStartResult(owner, s, a)));
  }

  private void onStartResult(ShardOwner owner, OwnerCommand.Start s, StartResult answer) {
    StartResult known = answer == null ? StartResult.UNKNOWN : answer;
    owner.onStartResult(s.task(), known, localMillis());
  }

  private void sync(ShardOwner owner, OwnerCommand.Sync s, long sentAt, long trueTickMillis) {
    simulation.callWorker(
        this,
        s.worker(),
        trueTickMillis,
        true,
        w -> w.sync(simulation.epochForWorker(owner.epoch()), s),
        a -> run(() -> onSyncReport(owner, s, a, sentAt)));
  }

  private void onSyncReport(
      ShardOwner owner, OwnerCommand.Sync sync, Optional<WorkerReport> answer, long sentAt) {
    if (answer == null) {
      owner.onSyncFailed(sync.worker());
    } else if (answer.isEmpty()) {
      owner.onSyncFenced(sync.worker());
    } else {
      owner.onSyncReport(
          sync.worker(), withRenewedTasksAsIds(answer.get(), sync), sentAt, localMillis());
    }
  }

  /** Reports renewed tasks by id only, as most answers of the daemon's adapter do. */
  private static WorkerReport withRenewedTasksAsIds(WorkerReport report, OwnerCommand.Sync sync) {
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
