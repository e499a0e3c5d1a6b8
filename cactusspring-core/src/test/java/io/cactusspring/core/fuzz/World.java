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

/** Entry hosts of two zones, their workers and the log, in virtual time. */
final class World {
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
  private final Set<Guards> guards;
  private final Events events = new Events();
  private final Truth truth = new Truth(events);
  private final Net net;
  private final FakeLog log;
  private final Limits limits;
  private final TreeMap<String, Host> hosts = new TreeMap<>();
  private final TreeMap<String, FakeWorker> workers = new TreeMap<>();
  private final Callers callers;
  private int incarnations;
  private int loaded;
  private boolean isLoaded = true;

  /** What became of an append, as the appender sees it. */
  enum Appended {
    TAKEN,
    REFUSED,
    UNKNOWN
  }

  /**
   * An answer to a read.
   *
   * @param ageMillis how long ago the log's end was where it says
   */
  record Read(List<LogRecord> records, long next, long ageMillis) {}

  World(long seed, Set<Guards> guards) {
    this.random = new Random(seed);
    this.guards = guards;
    net = new Net(events, random);
    limits = new Limits(this);
    log = new FakeLog(events);
    callers = new Callers(this);
    log.append(new LogRecord.NoteApplied(new ReleaseNote("first", "ops", Cell.items())));
    Cell.hosts().forEach(this::boot);
    Cell.workers().forEach(this::addWorker);
    events.after(TICK_MILLIS, this::tick);
    events.after(LOAD_MILLIS, this::load);
  }

  private void addWorker(String name) {
    WorkerInfo info = new WorkerInfo(name, zoneOf(name), "rack", name + ":1", WORKER_TOTAL, false);
    workers.put(name, new FakeWorker(info, clock(), events, truth, LEASE_MILLIS));
  }

  private void boot(String name) {
    String incarnation = name + "-" + incarnations++;
    hosts.put(name, new Host(this, name, zoneOf(name), incarnation, clock()));
  }

  private Clock clock() {
    int perMille = random.nextInt(2 * MAX_DRIFT_PER_MILLE + 1) - MAX_DRIFT_PER_MILLE;
    return new Clock(random.nextInt(1_000_000), perMille);
  }

  void stopLoad() {
    isLoaded = false;
  }

  private void tick() {
    hosts.values().forEach(Host::tick);
    limits.check();
    truth.checkGangs();
    events.after(TICK_MILLIS, this::tick);
  }

  /** Kills a host's process; another takes its name after a while. */
  void replace(Host host, long downMillis) {
    if (host.isAlive()) {
      host.kill();
      events.after(downMillis, () -> boot(host.name()));
    }
  }

  /** Ends all faults. */
  void heal() {
    log.mode(FakeLog.Mode.UP);
    net.losesAnswers = false;
    net.repeats = false;
    net.slow = false;
    List<String> ends = new ArrayList<>(hosts.keySet());
    ends.addAll(workers.keySet());
    ends.add(Net.LOG);
    ends.forEach(a -> ends.forEach(b -> net.join(a, b)));
    workers.values().forEach(w -> w.failsStarts = false);
  }

  /** Submits a small task now and then, so that calls are under way when a fault comes. */
  void load() {
    int n = loaded++;
    Submission s =
        new Submission(
            "l" + n,
            Cell.TEAMS.get(n % Cell.TEAMS.size()),
            false,
            1,
            Cell.spec(300, 200 + random.nextInt(600), n % 3 > 0));
    ShardId home = ShardId.parse(random.nextBoolean() ? "za/0" : "zb/0");
    callers.submit(host(random.nextInt(Cell.hosts().size())), s, home);
    if (isLoaded) {
      events.after(LOAD_MILLIS, this::load);
    }
  }

  // What hosts use.

  Events events() {
    return events;
  }

  Set<Guards> guards() {
    return guards;
  }

  Set<String> names() {
    return Set.copyOf(Cell.hosts());
  }

  List<String> others(String name) {
    return hosts.keySet().stream().filter(n -> !n.equals(name)).toList();
  }

  /** The zone is the first letter of a name. */
  static AvailabilityZone zoneOf(String name) {
    return new AvailabilityZone("z" + name.charAt(0));
  }

  Collection<WorkerInfo> listed(AvailabilityZone zone) {
    int factor = guards.contains(Guards.CAPACITY) ? 1 : 2;
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
    return Mutants.owner(guards, shard, epoch, state, nowMillis);
  }

  /** Epoch that a worker gets to see. */
  long seenEpoch(long epoch) {
    return guards.contains(Guards.WORKER_EPOCH) ? epoch : 1;
  }

  LogRecord mutate(ClusterState state, LogRecord r) {
    return guards.contains(Guards.NOTE_ORDER) ? r : Mutants.rebased(state, r);
  }

  void tell(String from, String to, Consumer<Host> message) {
    net.tell(from, to, () -> toHost(to, message));
  }

  private void toHost(String name, Consumer<Host> message) {
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

  void append(Host from, List<LogRecord> records, Consumer<Appended> answer) {
    net.call(
        gateway(from.name()),
        Net.LOG,
        0,
        CALL_TIMEOUT_MILLIS,
        true,
        () -> appended(records),
        a -> answer.accept(a == null ? Appended.UNKNOWN : a));
  }

  /** Returns null if there is to be no answer. */
  private Appended appended(List<LogRecord> records) {
    return switch (log.mode()) {
      case UP -> {
        records.forEach(log::append);
        yield Appended.TAKEN;
      }
      case REFUSING -> Appended.REFUSED;
      case SILENT -> null;
      case LOSING_ANSWERS -> {
        records.forEach(log::append);
        yield null;
      }
      case LANDING_LATE -> {
        events.after(random.nextInt(10_000), () -> records.forEach(log::append));
        yield null;
      }
    };
  }

  void read(Host from, long offset, Consumer<Read> answer, long timeoutMillis) {
    String name = from.name();
    String gateway = gateway(name);
    if (gateway.equals(name)) {
      net.call(name, Net.LOG, 0, timeoutMillis, true, () -> readLog(offset), answer);
    } else {
      net.call(name, gateway, 0, timeoutMillis, true, () -> relayed(gateway, offset), answer);
    }
  }

  private Read readLog(long offset) {
    boolean answers = log.mode() == FakeLog.Mode.UP || log.mode() == FakeLog.Mode.LOSING_ANSWERS;
    List<LogRecord> records = log.from(offset);
    return answers ? new Read(records, offset + records.size(), 0) : null;
  }

  private Read relayed(String gateway, long offset) {
    Host peer = hosts.get(gateway);
    return peer.isWorking() ? peer.relay(offset) : null;
  }

  /** The host itself, or a peer that reaches the log for it. */
  private String gateway(String name) {
    if (!net.isCut(name, Net.LOG)) {
      return name;
    }
    return others(name).stream()
        .filter(p -> !net.isCut(name, p) && !net.isCut(p, Net.LOG) && hosts.get(p).isWorking())
        .findFirst()
        .orElse(name);
  }

  void applied(Host host, LogRecord r, List<StateChange> changes) {
    changes.forEach(c -> callers.changed(host, c));
    if (r instanceof LogRecord.BudgetMoved m) {
      limits.read(host, m);
    }
  }

  // What commands and checks use.

  Random random() {
    return random;
  }

  Net net() {
    return net;
  }

  FakeLog log() {
    return log;
  }

  Truth truth() {
    return truth;
  }

  Callers callers() {
    return callers;
  }

  Limits limits() {
    return limits;
  }

  Host host(int n) {
    return hosts.get(Cell.hosts().get(Math.floorMod(n, Cell.hosts().size())));
  }

  FakeWorker worker(int n) {
    return workers.get(Cell.workers().get(Math.floorMod(n, Cell.workers().size())));
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
