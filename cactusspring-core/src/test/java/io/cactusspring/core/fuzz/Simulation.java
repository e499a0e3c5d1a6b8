package io.cactusspring.core.fuzz;

import io.cactusspring.core.membership.MembershipSettings;
import io.cactusspring.core.model.AvailabilityZone;
import io.cactusspring.core.model.LogRecord;
import io.cactusspring.core.model.ReleaseNote;
import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.ShardId;
import io.cactusspring.core.model.Submission;
import io.cactusspring.core.model.WorkerInfo;
import io.cactusspring.core.shard.OwnerSettings;
import io.cactusspring.core.shard.ShardOwner;
import io.cactusspring.core.state.ClusterState;
import io.cactusspring.core.state.StateChange;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Simulates the entry hosts of two zones, their workers and the log in virtual time. */
final class Simulation {
  static final long LEASE_MILLIS = 4_000;
  static final long CALL_TIMEOUT_MILLIS = 1_000;
  static final long RENEW_AUTHORITY_MILLIS = 8_000;
  static final MembershipSettings MEMBERSHIP =
      new MembershipSettings(3_000, RENEW_AUTHORITY_MILLIS, 4_000);
  static final OwnerSettings OWNER =
      new OwnerSettings(LEASE_MILLIS, 500, CALL_TIMEOUT_MILLIS, RENEW_AUTHORITY_MILLIS);
  static final Resources WORKER_TOTAL = new Resources(4_000, 4_096, 1);
  private static final long TICK_MILLIS = 100;
  private static final long LOAD_MILLIS = 400;
  private static final int MAX_DRIFT_PER_MILLE = 5;

  private final Random random;
  private final Set<Guard> guards;
  private final EventQueue events = new EventQueue();
  private final ExecutionOracle oracle = new ExecutionOracle(events);
  private final FakeNetwork net;
  private final FakeLog log;
  private final TeamLimits limits;
  private final TreeMap<String, Host> hosts = new TreeMap<>();
  private final TreeMap<String, FakeWorker> workers = new TreeMap<>();
  private final Callers callers;
  private int incarnations;
  private int loadSubmissions;
  private boolean isLoadOn = true;

  /** Result of an append, as the appender sees it. */
  enum AppendResult {
    APPENDED,
    REFUSED,
    UNKNOWN
  }

  /**
   * An answer to a read.
   *
   * @param next offset of the log's end
   * @param ageMillis time since the log's end was at that offset, in milliseconds
   */
  record ReadResult(List<LogRecord> records, long next, long ageMillis) {}

  Simulation(long seed, Set<Guard> guards) {
    this.random = new Random(seed);
    this.guards = guards;
    net = new FakeNetwork(events, random);
    limits = new TeamLimits(this);
    log = new FakeLog(events);
    callers = new Callers(this);
    log.append(new LogRecord.NoteApplied(new ReleaseNote("first", "ops", CellFixture.items())));
    CellFixture.hosts().forEach(this::startHost);
    CellFixture.workers().forEach(this::addWorker);
    events.schedule(TICK_MILLIS, this::tick);
    events.schedule(LOAD_MILLIS, this::submitLoad);
  }

  private void addWorker(String name) {
    WorkerInfo info = new WorkerInfo(name, zoneOf(name), "rack", name + ":1", WORKER_TOTAL, false);
    workers.put(name, new FakeWorker(info, clock(), events, oracle, LEASE_MILLIS));
  }

  private void startHost(String name) {
    String incarnation = name + "-" + incarnations++;
    hosts.put(name, new Host(this, name, zoneOf(name), incarnation, clock()));
  }

  private DriftingClock clock() {
    int perMille = random.nextInt(2 * MAX_DRIFT_PER_MILLE + 1) - MAX_DRIFT_PER_MILLE;
    return new DriftingClock(random.nextInt(1_000_000), perMille);
  }

  void stopLoad() {
    isLoadOn = false;
  }

  private void tick() {
    hosts.values().forEach(Host::tick);
    limits.check();
    oracle.checkGangs();
    events.schedule(TICK_MILLIS, this::tick);
  }

  /** Kills a host's process; a new process starts under its name after the down time. */
  void killAndReplace(Host host, long downMillis) {
    if (host.isAlive()) {
      host.kill();
      events.schedule(downMillis, () -> startHost(host.name()));
    }
  }

  /** Ends all faults of the log, the network and the workers. */
  void endFaults() {
    log.mode(FakeLog.Mode.UP);
    net.losesAnswers = false;
    net.duplicatesMessages = false;
    net.delaysMessages = false;
    List<String> nodes = new ArrayList<>(hosts.keySet());
    nodes.addAll(workers.keySet());
    nodes.add(FakeNetwork.LOG);
    nodes.forEach(a -> nodes.forEach(b -> net.reconnect(a, b)));
    workers.values().forEach(w -> w.failsStarts = false);
  }

  /** Submits a small task at regular intervals, so that calls are in flight when a fault occurs. */
  void submitLoad() {
    int n = loadSubmissions++;
    Submission s =
        new Submission(
            "l" + n,
            CellFixture.TEAMS.get(n % CellFixture.TEAMS.size()),
            false,
            1,
            CellFixture.spec(300, 200 + random.nextInt(600), n % 3 > 0));
    ShardId home = ShardId.parse(random.nextBoolean() ? "za/0" : "zb/0");
    callers.submit(host(random.nextInt(CellFixture.hosts().size())), s, home);
    if (isLoadOn) {
      events.schedule(LOAD_MILLIS, this::submitLoad);
    }
  }

  // Used by the hosts.

  EventQueue events() {
    return events;
  }

  Set<Guard> guards() {
    return guards;
  }

  Set<String> hostNames() {
    return Set.copyOf(CellFixture.hosts());
  }

  List<String> otherHosts(String name) {
    return hosts.keySet().stream().filter(n -> !n.equals(name)).toList();
  }

  /** Returns the zone of a host or worker, given by the first letter of its name. */
  static AvailabilityZone zoneOf(String name) {
    return new AvailabilityZone("z" + name.charAt(0));
  }

  Collection<WorkerInfo> listedWorkers(AvailabilityZone zone) {
    int factor = guards.contains(Guard.CAPACITY) ? 1 : 2;
    return workers.values().stream()
        .map(FakeWorker::info)
        .filter(w -> w.zone().equals(zone))
        .map(
            w ->
                new WorkerInfo(
                    w.name(), zone, w.rack(), w.address(), w.total().times(factor), false))
        .toList();
  }

  ShardOwner owner(ShardId shard, long epoch, ClusterState state, long nowMillis) {
    return MutantFactory.owner(guards, shard, epoch, state, nowMillis);
  }

  /** Returns the epoch that is sent to a worker; the same for all calls if the guard is off. */
  long epochForWorker(long epoch) {
    return guards.contains(Guard.WORKER_EPOCH) ? epoch : 1;
  }

  LogRecord mutate(ClusterState state, LogRecord r) {
    return guards.contains(Guard.NOTE_ORDER) ? r : MutantFactory.rebase(state, r);
  }

  void sendMessage(String from, String to, Consumer<Host> message) {
    net.send(from, to, () -> deliver(to, message));
  }

  private void deliver(String name, Consumer<Host> message) {
    Host host = hosts.get(name);
    host.run(() -> message.accept(host));
  }

  <T> void callWorker(
      Host from,
      String worker,
      long commandAt,
      boolean mayRepeat,
      Function<FakeWorker, T> call,
      Consumer<T> answer) {
    FakeWorker w = workers.get(worker);
    long age = events.now() - commandAt;
    net.call(from.name(), worker, age, CALL_TIMEOUT_MILLIS, mayRepeat, () -> call.apply(w), answer);
  }

  void append(Host from, List<LogRecord> records, Consumer<AppendResult> answer) {
    net.call(
        gateway(from.name()),
        FakeNetwork.LOG,
        0,
        CALL_TIMEOUT_MILLIS,
        true,
        () -> appendToLog(records),
        a -> answer.accept(a == null ? AppendResult.UNKNOWN : a));
  }

  /** Returns null if the call is not answered. */
  private AppendResult appendToLog(List<LogRecord> records) {
    return switch (log.mode()) {
      case UP -> {
        records.forEach(log::append);
        yield AppendResult.APPENDED;
      }
      case REFUSING -> AppendResult.REFUSED;
      case SILENT -> null;
      case LOSING_ANSWERS -> {
        records.forEach(log::append);
        yield null;
      }
      case APPENDING_LATE -> {
        events.schedule(random.nextInt(10_000), () -> records.forEach(log::append));
        yield null;
      }
    };
  }

  void read(Host from, long offset, Consumer<ReadResult> answer, long timeoutMillis) {
    String name = from.name();
    String gateway = gateway(name);
    if (gateway.equals(name)) {
      net.call(name, FakeNetwork.LOG, 0, timeoutMillis, true, () -> readLog(offset), answer);
    } else {
      net.call(
          name, gateway, 0, timeoutMillis, true, () -> readThroughPeer(gateway, offset), answer);
    }
  }

  private ReadResult readLog(long offset) {
    boolean answers = log.mode() == FakeLog.Mode.UP || log.mode() == FakeLog.Mode.LOSING_ANSWERS;
    List<LogRecord> records = log.from(offset);
    return answers ? new ReadResult(records, offset + records.size(), 0) : null;
  }

  private ReadResult readThroughPeer(String gateway, long offset) {
    Host peer = hosts.get(gateway);
    return peer.isWorking() ? peer.relay(offset) : null;
  }

  /** Returns the host itself, or a peer that reaches the log if the host does not. */
  private String gateway(String name) {
    if (!net.isCut(name, FakeNetwork.LOG)) {
      return name;
    }
    return otherHosts(name).stream()
        .filter(
            p -> !net.isCut(name, p) && !net.isCut(p, FakeNetwork.LOG) && hosts.get(p).isWorking())
        .findFirst()
        .orElse(name);
  }

  void recordApplied(Host host, LogRecord r, List<StateChange> changes) {
    changes.forEach(c -> callers.onStateChange(host, c));
    if (r instanceof LogRecord.BudgetMoved m) {
      limits.moveRead(host, m);
    }
  }

  // Used by commands and checks.

  Random random() {
    return random;
  }

  FakeNetwork net() {
    return net;
  }

  FakeLog log() {
    return log;
  }

  ExecutionOracle oracle() {
    return oracle;
  }

  Callers callers() {
    return callers;
  }

  TeamLimits limits() {
    return limits;
  }

  Host host(int n) {
    return hosts.get(CellFixture.hosts().get(Math.floorMod(n, CellFixture.hosts().size())));
  }

  FakeWorker worker(int n) {
    return workers.get(CellFixture.workers().get(Math.floorMod(n, CellFixture.workers().size())));
  }

  Collection<Host> hosts() {
    return hosts.values();
  }

  Set<ClusterState> liveStates() {
    return hosts.values().stream()
        .filter(Host::isAlive)
        .map(Host::state)
        .collect(Collectors.toSet());
  }
}
