package io.cactusspring.jobs.simulation;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.control.ClaimPolicy;
import io.cactusspring.jobs.control.EntryHost;
import io.cactusspring.jobs.control.HostPorts;
import io.cactusspring.jobs.control.HostSettings;
import io.cactusspring.jobs.control.Outcome;
import io.cactusspring.jobs.ledger.PeerRecord;
import io.cactusspring.jobs.log.JobLog;
import io.cactusspring.jobs.model.AdviceSettings;
import io.cactusspring.jobs.model.ExecutorInfo;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.JobState;
import io.cactusspring.jobs.model.Organisation;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.ServiceDefinition;
import io.cactusspring.jobs.model.SiteConfiguration;
import io.cactusspring.jobs.model.StepId;
import io.cactusspring.jobs.model.TaskId;
import io.cactusspring.jobs.port.AdviceService;
import io.cactusspring.jobs.port.Executors;
import io.cactusspring.jobs.port.KeyedTopic.Entry;
import io.cactusspring.jobs.port.Peers;
import io.cactusspring.jobs.port.StoreException;
import io.cactusspring.jobs.port.Timers;
import io.cactusspring.jobs.schedule.SchedulerSettings;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Entry hosts on an emulated platform, in virtual time and with one seed for all that is random.
 */
public final class ClusterSimulation {
  public static final String SERVICE = "svc";
  public static final int MAX_ATTEMPTS = 3;

  private static final SchedulerSettings SCHEDULER =
      SchedulerSettings.builder().maxLeaseMillis(6_000).stopMillis(100).build();

  /** One life of an entry host; after a kill, nothing of it runs any more. */
  public final class Host {
    private final String name;
    private final Link storeLink = new Link(time, random, this::currentIncarnation);
    private final Link executorLink = new Link(time, random, this::currentIncarnation);
    private final Link adviceLink = new Link(time, random, this::currentIncarnation);
    private int incarnation;
    private boolean paused;
    private final List<Runnable> deferredTasks = new ArrayList<>();
    private EntryHost entry;

    Host(String name) {
      this.name = name;
    }

    public String name() {
      return name;
    }

    /** The way to the store. */
    public Link storeLink() {
      return storeLink;
    }

    /** The way to the executors. */
    public Link executorLink() {
      return executorLink;
    }

    public Optional<EntryHost> entry() {
      return Optional.ofNullable(entry);
    }

    public boolean isOwner() {
      return entry != null && entry.isOwner();
    }

    public void start() {
      incarnation++;
      paused = false;
      deferredTasks.clear();
      entry = newEntry(this, incarnation);
      entry.start();
    }

    public void kill() {
      incarnation++;
      entry = null;
    }

    /** Stops the process for a while; what comes meanwhile waits. */
    public void pause(long millis) {
      paused = true;
      time.after(
          millis,
          () -> {
            paused = false;
            List<Runnable> tasks = List.copyOf(deferredTasks);
            deferredTasks.clear();
            tasks.forEach(Runnable::run);
          });
    }

    private Consumer<Runnable> currentIncarnation() {
      int current = incarnation;
      return task -> run(current, task);
    }

    private void run(int taskIncarnation, Runnable task) {
      if (taskIncarnation != incarnation) {
        return;
      }
      if (paused) {
        deferredTasks.add(() -> run(taskIncarnation, task));
      } else {
        task.run();
      }
    }
  }

  private final VirtualTime time = new VirtualTime();
  private final Random random;
  private final Oracle oracle = new Oracle(this);
  private final FakeLog ledger = new FakeLog();
  private final FakeLog operators = new FakeLog();
  private final FakeLog announcements = new FakeLog();
  private final Map<String, FakeExecutor> executors = new LinkedHashMap<>();
  private final List<Host> hosts = new ArrayList<>();
  private final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();
  private final JobLog log;
  private SiteConfiguration configuration;
  private boolean faultFree = true;
  private Function<TaskId, Long> taskWorkMillis = id -> 500L;
  private Function<TaskId, Executors.End> taskEnd = id -> Executors.End.DONE;
  private double allowedExecutorShare = 1;

  public ClusterSimulation(long seed) {
    random = new Random(seed);
    log =
        new JobLog(
            "world",
            new PrintStream(logOutput, true, StandardCharsets.UTF_8),
            1 << 20,
            (event, kind) -> {});
    configuration = new SiteConfiguration(1, queues(), services(), List.of(organisation(null)));
    try {
      operators.append(List.of(new Entry("config", new byte[] {1}, 0)), Optional.empty());
    } catch (StoreException e) {
      throw new IllegalStateException(e);
    }
  }

  private static List<ServiceDefinition> services() {
    return List.of(new ServiceDefinition(SERVICE, false));
  }

  private static List<Queue> queues() {
    return List.of(
        queue("quick", 0, null), queue("long", 2, null), queue("advised", 1, adviceSettings()));
  }

  private static AdviceSettings adviceSettings() {
    return new AdviceSettings(20, 1, 2_000);
  }

  /** Returns a queue of the world. */
  public static Queue queue(String name, int priority, AdviceSettings advice) {
    return new Queue(
        name, "host", "/" + name + "/", SERVICE, priority, MAX_ATTEMPTS, 2, 250, advice, false);
  }

  private static Organisation organisation(Resources limit) {
    return new Organisation(
        "team", Set.of("key"), 1, limit == null ? new Resources(0, 0, 0) : limit);
  }

  /** Limits what the team may have running. */
  public void limit(Resources limit) {
    configuration =
        new SiteConfiguration(
            configuration.version() + 1, queues(), services(), List.of(organisation(limit)));
    try {
      operators.append(List.of(new Entry("config", new byte[] {1}, 0)), Optional.empty());
    } catch (StoreException e) {
      throw new IllegalStateException(e);
    }
  }

  public VirtualTime time() {
    return time;
  }

  public Oracle oracle() {
    return oracle;
  }

  public FakeLog ledger() {
    return ledger;
  }

  public FakeLog operators() {
    return operators;
  }

  public FakeLog announcements() {
    return announcements;
  }

  public List<Host> hosts() {
    return hosts;
  }

  public List<FakeExecutor> executors() {
    return List.copyOf(executors.values());
  }

  /** Returns the lines that the hosts logged so far. */
  public List<String> logLines() {
    log.flush();
    return logOutput.toString(StandardCharsets.UTF_8).lines().toList();
  }

  /** Whether there is no fault now, so that promises with a time bound hold. */
  public boolean isFaultFree() {
    return faultFree;
  }

  public void faultFree(boolean value) {
    faultFree = value;
  }

  public void taskWorkMillis(Function<TaskId, Long> millis) {
    taskWorkMillis = millis;
  }

  public void taskEnd(Function<TaskId, Executors.End> how) {
    taskEnd = how;
  }

  public void allowedExecutorShare(double share) {
    allowedExecutorShare = share;
  }

  long workMillis(TaskId task) {
    return taskWorkMillis.apply(task);
  }

  Executors.End endOf(TaskId task, int run) {
    return taskEnd.apply(task);
  }

  public Host addHost(String name) {
    Host host = new Host(name);
    hosts.add(host);
    host.start();
    return host;
  }

  public FakeExecutor addExecutor(String id, Resources capacity) {
    FakeExecutor executor = new FakeExecutor(id, this, capacity, time);
    executors.put(id, executor);
    announce(executor);
    return executor;
  }

  /** Writes the executor's entry, as it does from time to time. */
  public void announce(FakeExecutor executor) {
    put(executor, new byte[] {1});
  }

  /** Drops the executor's entry. */
  public void removeAnnouncement(FakeExecutor executor) {
    put(executor, null);
  }

  private void put(FakeExecutor executor, byte[] value) {
    try {
      announcements.append(List.of(new Entry(executor.id(), value, 0)), Optional.empty());
    } catch (StoreException e) {
      throw new IllegalStateException(e);
    }
  }

  private EntryHost newEntry(Host host, int incarnation) {
    Timers timers = new HostTimers(host, incarnation);
    HostPorts ports =
        new HostPorts(
            new FakeTopic(ledger, host.storeLink, time),
            new FakeTopic(operators, host.storeLink, time),
            new FakeTopic(announcements, host.storeLink, time),
            entry -> Optional.of(configuration),
            this::readExecutor,
            new HostExecutors(host),
            new FakeAdvice(host),
            new FakeAdvice(host),
            timers);
    PeerRecord self =
        new PeerRecord(host.name, host.name + "#" + incarnation, host.name + ":70", 750);
    HostSettings settings =
        new HostSettings(self, SCHEDULER, new ClaimPolicy(750, 1_500, 200), 4_200, 1_800);
    return new EntryHost(ports, settings, log, new Random(random.nextLong()));
  }

  private Optional<ExecutorInfo> readExecutor(Entry entry) {
    return Optional.ofNullable(executors.get(entry.key())).map(FakeExecutor::info);
  }

  private final class HostTimers implements Timers {
    private final Host host;
    private final int incarnation;

    HostTimers(Host host, int incarnation) {
      this.host = host;
      this.incarnation = incarnation;
    }

    @Override
    public long nowMillis() {
      return time.now();
    }

    @Override
    public long wallMillis() {
      return time.now();
    }

    @Override
    public void after(long millis, Runnable task) {
      time.after(millis, () -> host.run(incarnation, task));
    }
  }

  private final class HostExecutors implements Executors {
    private static final long CALL_TIMEOUT_MILLIS = 500;

    private final Host host;

    HostExecutors(Host host) {
      this.host = host;
    }

    private Future<Answer> order(Function<FakeExecutor, Future<Answer>> order, Target target) {
      FakeExecutor executor = executors.get(target.id());
      BooleanSupplier lost = lostInCrash(executor);
      return host.executorLink.call(
          () -> lost.getAsBoolean() ? noAnswer() : order.apply(executor),
          HostExecutors::noAnswer,
          CALL_TIMEOUT_MILLIS);
    }

    private static Future<Answer> noAnswer() {
      return Future.succeededFuture(new Answer.Unknown("no answer"));
    }

    /** It is the executor that puts a call off, so that its crash loses it. */
    private BooleanSupplier lostInCrash(FakeExecutor executor) {
      long boot = executor.info().bootMillis();
      long sentAt = time.now();
      return () ->
          time.now() - sentAt > CALL_TIMEOUT_MILLIS && executor.info().bootMillis() != boot;
    }

    @Override
    public Future<Answer> start(Target executor, StartOrder order) {
      return order(e -> e.start(order), executor);
    }

    @Override
    public Future<Answer> stop(Target executor, TaskId task, int run, long fencingToken) {
      return order(e -> e.stop(task, run, fencingToken), executor);
    }

    @Override
    public Future<Answer> pace(
        Target executor, TaskId task, int run, int percent, long fencingToken) {
      return order(e -> Future.succeededFuture(new Answer.Done(0)), executor);
    }

    @Override
    public Future<Held> hold(Target executor, HoldOrder order) {
      FakeExecutor target = executors.get(executor.id());
      BooleanSupplier lost = lostInCrash(target);
      Future<Held> noAnswer = Future.succeededFuture(new Held.Unknown("no answer"));
      return host.executorLink.call(
          () -> lost.getAsBoolean() ? noAnswer : target.hold(order),
          () -> noAnswer,
          order.waitMillis() + CALL_TIMEOUT_MILLIS);
    }
  }

  private final class FakeAdvice implements AdviceService, Peers {
    private static final long DECIDE_MILLIS = 30;

    private final Host host;

    FakeAdvice(Host host) {
      this.host = host;
    }

    @Override
    public Future<Map<String, String>> ask(StepId step, List<String> named, long timeoutMillis) {
      return host.adviceLink.call(
          () -> decide(step, named), () -> Future.failedFuture("no answer"), timeoutMillis);
    }

    private Future<Map<String, String>> decide(StepId step, List<String> named) {
      Map<String, String> tickets = new LinkedHashMap<>();
      named.stream()
          .filter(
              e ->
                  alwaysAllowed(e)
                      || Math.floorMod((step + e).hashCode(), 100) < allowedExecutorShare * 100)
          .forEach(e -> tickets.put(e, "ticket"));
      Promise<Map<String, String>> promise = Promise.promise();
      time.after(DECIDE_MILLIS, () -> promise.complete(tickets));
      return promise.future();
    }

    @Override
    public Future<Map<String, String>> askAdvice(
        String address, StepId step, List<String> named, long timeoutMillis) {
      return ask(step, named, timeoutMillis);
    }
  }

  /** Two executors are allowed for every step, so that each job can be done. */
  private boolean alwaysAllowed(String executor) {
    return executors.keySet().stream().limit(2).anyMatch(executor::equals);
  }

  /** Submits a job at a host; counts it as accepted only when the host says so. */
  public Future<Outcome> submit(Host host, JobSpec spec) {
    oracle.submitted(spec);
    return host.entry.service().submit(spec, 3_000);
  }

  public Future<Outcome> cancel(Host host, JobSpec spec) {
    return host.entry
        .service()
        .cancel(spec.queue(), spec.organisation(), spec.id(), 3_000)
        .onSuccess(
            outcome -> {
              if (outcome instanceof Outcome.Accepted) {
                oracle.cancelled(spec.id());
              }
            });
  }

  public Future<Optional<JobState>> state(Host host, JobSpec spec) {
    return host.entry.service().state(spec.queue(), spec.organisation(), spec.id());
  }
}
