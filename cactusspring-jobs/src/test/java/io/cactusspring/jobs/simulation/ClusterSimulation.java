package io.cactusspring.jobs.simulation;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.control.ClaimPolicy;
import io.cactusspring.jobs.control.ConfigurationBounds;
import io.cactusspring.jobs.control.EntryHost;
import io.cactusspring.jobs.control.HostPorts;
import io.cactusspring.jobs.control.HostSettings;
import io.cactusspring.jobs.control.Outcome;
import io.cactusspring.jobs.control.Resolution;
import io.cactusspring.jobs.ledger.JobEntry;
import io.cactusspring.jobs.ledger.LedgerSnapshot;
import io.cactusspring.jobs.ledger.StepProgress;
import io.cactusspring.jobs.log.JobLog;
import io.cactusspring.jobs.model.AdviceSettings;
import io.cactusspring.jobs.model.ExecutorInfo;
import io.cactusspring.jobs.model.HostIdentity;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.JobState;
import io.cactusspring.jobs.model.Organisation;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.ServiceDefinition;
import io.cactusspring.jobs.model.SiteConfiguration;
import io.cactusspring.jobs.model.StepId;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.model.TaskId;
import io.cactusspring.jobs.model.ZoneRecord;
import io.cactusspring.jobs.port.AdviceService;
import io.cactusspring.jobs.port.ExecutorClient;
import io.cactusspring.jobs.port.ExecutorClient.EndedRun;
import io.cactusspring.jobs.port.ExecutorClient.Refusal;
import io.cactusspring.jobs.port.KeyedTopic;
import io.cactusspring.jobs.port.KeyedTopic.Entry;
import io.cactusspring.jobs.port.StoreException;
import io.cactusspring.jobs.port.StoreLimits;
import io.cactusspring.jobs.port.Timers;
import io.cactusspring.jobs.schedule.SchedulerSettings;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongConsumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Stream;

/**
 * Entry hosts on a simulated platform, in virtual time. All random choices follow from one seed.
 */
public final class ClusterSimulation {
  public static final String SERVICE = "svc";
  public static final int MAX_ATTEMPTS = 3;

  private static final int MILLI_PROCESSORS = 750;
  private static final int LANES = 3;
  private static final long RETURN_MILLIS = 3_000;
  private static final int INBOX_PARTITIONS = 4;

  /** The service refuses calls that name more. */
  private static final int MAX_EXECUTORS_PER_ADVICE_CALL = 100;

  /** Time without a fault after which a host has to keep all bounds. */
  private static final long SETTLE_MILLIS = 3_000;

  /** How often the owner deletes records that nobody needs any more. */
  private static final long SWEEP_MILLIS = 5_000;

  /** How long an append to a slow store is in flight. */
  private static final long SLOW_APPEND_MILLIS = 240;

  /** How long a request is on its way to a host. */
  private static final long REQUEST_MILLIS = 1;

  private static final ConfigurationHistory.Bounds CONFIGURATION_BOUNDS =
      new ConfigurationHistory.Bounds(2_000, 5_000, 250);

  /** A call is told in the log from this delay on. */
  private static final long TRACED_DELAY_MILLIS = 100;

  /** Whether the log has lines about executors, too. */
  private static final boolean TRACE = Boolean.getBoolean("cactusspring.fuzz.log");

  private static final String CONFIGURATION_KEY = "config";
  private static final String ZONE_KEY_PREFIX = "zone ";

  /**
   * An entry host that can be killed and started again; after a kill, no task of the killed
   * incarnation runs.
   */
  public final class Host {
    private final String name;
    private final int milliProcessors;
    private final Link storeLink = new Link(time, random, this::currentIncarnation);
    private final Link executorLink = new Link(time, random, this::currentIncarnation);
    private final Link adviceLink = new Link(time, random, this::currentIncarnation);
    private int incarnation;
    private boolean paused;
    private final List<Runnable> deferredTasks = new ArrayList<>();
    private EntryHost entry;
    private long startedAt;
    private long disturbedUntil;
    private long suspendedMillis;
    private long wallOffsetMillis;

    Host(String name, int milliProcessors) {
      this.name = name;
      this.milliProcessors = milliProcessors;
    }

    public String name() {
      return name;
    }

    /** Returns the link to the store. */
    public Link storeLink() {
      return storeLink;
    }

    /** Returns the link to the executors. */
    public Link executorLink() {
      return executorLink;
    }

    /** Returns the running entry host; empty after a kill. */
    public Optional<EntryHost> entry() {
      return Optional.ofNullable(entry);
    }

    public boolean isOwner() {
      return entry != null && entry.isOwner();
    }

    public void start() {
      incarnation++;
      startedAt = time.now();
      paused = false;
      deferredTasks.clear();
      entry = newEntry(this, incarnation);
      entry.start();
    }

    public void kill() {
      incarnation++;
      entry = null;
      network.kill(name);
    }

    /**
     * Stops the process as planned: it releases the ownership of the executors, goes on serving for
     * a number of milliseconds, and ends.
     */
    public void stop(long millis) {
      int stopped = incarnation;
      entry.drain();
      time.after(
          millis,
          () -> {
            if (incarnation == stopped) {
              kill();
            }
          });
    }

    /** Sets whether the host is cut off from all other entry hosts. */
    public void cutFromPeers(boolean value) {
      network.cut(name, value);
    }

    /** Closes the links to all other entry hosts; new ones can be opened. */
    public void resetPeerLinks() {
      network.reset(name);
    }

    /** Pauses the process for a number of milliseconds; tasks that become due run afterwards. */
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

    /**
     * Suspends the machine for a number of milliseconds, which its monotonic clock does not count.
     */
    public void suspend(long millis) {
      time.after(millis, () -> suspendedMillis += millis);
      pause(millis);
    }

    /** Moves the wall clock of the machine by a number of milliseconds, which may be negative. */
    public void stepWallClock(long millis) {
      wallOffsetMillis += millis;
    }

    /** Records that a fault excuses this host from bounds until a number of milliseconds on. */
    public void disturbed(long millis) {
      disturbedUntil = Math.max(disturbedUntil, time.now() + millis);
    }

    /** Returns whether the last fault and the start are so long ago that all bounds hold. */
    public boolean isSettled() {
      return time.now() >= Math.max(disturbedUntil, startedAt) + SETTLE_MILLIS;
    }

    /** Returns the running process; another one after each start. */
    private String boot() {
      return name + "#" + incarnation;
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
  private final GangRuns gangRuns;
  private final Oracle oracle = new Oracle(this);
  private final FakeNetwork network = new FakeNetwork(time);
  private final FakeLog ownership = new FakeLog();
  private final List<FakeLog> lanes = logs(LANES);
  private final List<FakeLog> inbox = logs(INBOX_PARTITIONS);
  private final FakeLog operators = new FakeLog();
  private final FakeLog announcements = new FakeLog();

  /** The announcements of executors; the value of a record is the index of its announcement. */
  private final List<ExecutorInfo> announced = new ArrayList<>();

  private final FakeAdviceService adviceService = new FakeAdviceService(time);

  private final Map<String, FakeExecutor> executors = new LinkedHashMap<>();
  private final Set<String> listed = new HashSet<>();
  private final List<Host> hosts = new ArrayList<>();
  private final TestLog testLog = new TestLog();
  private final JobLog log = testLog.log();
  private List<Queue> queues = queues();
  private List<Organisation> organisations = List.of(organisation(null));
  private SiteConfiguration configuration;

  /** All versions; the value of a record is the version's number. */
  private final Map<Long, SiteConfiguration> versions = new HashMap<>();

  private final ConfigurationHistory history = new ConfigurationHistory(CONFIGURATION_BOUNDS);
  private List<ServiceDefinition> services = List.of(new ServiceDefinition(SERVICE, false));
  private BiPredicate<Host, Long> ignoredVersions = (host, version) -> false;
  private ConfigurationBounds configurationBounds = new ConfigurationBounds(2_000, 5_000);
  private LongConsumer crashByTaskListener = millis -> {};
  private Consumer<EndedRun> endListener = end -> {};
  private Consumer<EndedRun> acknowledgementListener = end -> {};
  private boolean faultFree = true;
  private long faultFreeSince;
  private Function<TaskId, Long> taskWorkMillis = id -> 500L;
  private Function<TaskId, ExecutorClient.EndReason> taskEnd = id -> ExecutorClient.EndReason.DONE;
  private Function<TaskId, OptionalLong> lifeMillis = id -> OptionalLong.empty();
  private Function<TaskId, OptionalLong> crashDelay = id -> OptionalLong.empty();
  private Predicate<FakeExecutor> keepsId = e -> true;
  private Set<CallFault> callFaults = Set.of();
  private boolean lateStarts = true;
  private double allowedExecutorShare = 1;
  private Map<String, AdviceTerms> adviceTerms = Map.of();
  private long evacuateMillis;

  public ClusterSimulation(long seed) {
    random = new Random(seed);
    gangRuns = new GangRuns(this, seed);
    publish(1);
  }

  private void publish(long version) {
    configuration = new SiteConfiguration(version, queues, services, organisations);
    versions.put(version, configuration);
    byte[] value = ByteBuffer.allocate(Long.BYTES).putLong(version).array();
    try {
      operators.append(List.of(new Entry(CONFIGURATION_KEY, value, 0)), Optional.empty());
    } catch (StoreException e) {
      throw new IllegalStateException(e);
    }
    history.acknowledged(version, queues, organisations, time.now());
  }

  private Optional<SiteConfiguration> readConfiguration(Host host, Entry entry) {
    if (!entry.key().equals(CONFIGURATION_KEY)) {
      return Optional.empty();
    }
    long version = ByteBuffer.wrap(entry.value()).getLong();
    return ignoredVersions.test(host, version)
        ? Optional.empty()
        : Optional.of(versions.get(version));
  }

  /**
   * Injects a fault: hosts do not take some versions.
   *
   * @param ignored decides by host and version; asked when a host reads the version
   */
  public void ignoredVersions(BiPredicate<Host, Long> ignored) {
    ignoredVersions = ignored;
  }

  /** Sets the bounds of hosts that start from now on; those of the checks stay. */
  public void configurationBounds(ConfigurationBounds bounds) {
    configurationBounds = bounds;
  }

  private static List<Queue> queues() {
    return List.of(
        queue("quick", 0, null), queue("long", 2, null), queue("advised", 1, adviceSettings()));
  }

  private static AdviceSettings adviceSettings() {
    return new AdviceSettings(20, 1, 2_000);
  }

  /** Returns a queue of the simulated service. */
  public static Queue queue(String name, int priority, AdviceSettings advice) {
    return new Queue(
        name, "host", "/" + name + "/", SERVICE, priority, MAX_ATTEMPTS, 2, 250, advice, false);
  }

  private static Organisation organisation(Resources limit) {
    return new Organisation(
        "team", Set.of("key"), 1, limit == null ? new Resources(0, 0, 0) : limit);
  }

  /** Publishes a configuration that limits the resources of the running tasks of the team. */
  public void limit(Resources limit) {
    organisations(List.of(organisation(limit)));
  }

  /** Publishes a configuration with other organisations. */
  public void organisations(List<Organisation> organisations) {
    configure(queues, organisations);
  }

  /** Publishes a configuration with other queues. */
  public void queues(List<Queue> queues) {
    configure(queues, organisations);
  }

  public SiteConfiguration configuration() {
    return configuration;
  }

  /** Publishes a configuration with other services. */
  public void services(Set<String> names) {
    services = names.stream().sorted().map(n -> new ServiceDefinition(n, false)).toList();
    publish(configuration.version() + 1);
  }

  /** Publishes a configuration with other queues and organisations. */
  public void configure(List<Queue> newQueues, List<Organisation> newOrganisations) {
    queues = newQueues;
    organisations = newOrganisations;
    publish(configuration.version() + 1);
  }

  public VirtualTime time() {
    return time;
  }

  public Oracle oracle() {
    return oracle;
  }

  private static List<FakeLog> logs(int count) {
    return Stream.generate(FakeLog::new).limit(count).toList();
  }

  /** Returns the partition of the owners' claims and heartbeats. */
  public FakeLog ownership() {
    return ownership;
  }

  /** Returns the partitions to which the owner writes. */
  public List<FakeLog> lanes() {
    return lanes;
  }

  /** Injects a fault of the code: attempts are stored wrongly from now on. */
  public void storeAttempts(StoredAttempts fault) {
    lanes.forEach(l -> l.change(fault::store));
  }

  /** Returns the partitions to which hosts write that cannot reach the owner. */
  public List<FakeLog> inbox() {
    return inbox;
  }

  /**
   * Sets how fast the store is from now on, at all hosts and in all partitions of the ledger.
   *
   * @param answerMillis how long a call takes that has to wait for no other one
   * @param appendMillis how long a partition takes for an append; it executes them one at a time
   */
  public void storeMillis(long answerMillis, long appendMillis) {
    hosts.forEach(
        h -> h.storeLink.extraLatencyMillis(Math.max(0, answerMillis - Link.USUAL_ANSWER_MILLIS)));
    ledger().forEach(l -> l.appendMillis(appendMillis));
  }

  /**
   * Injects a fault of the code: from time to time, a tombstone for an older record of an ended job
   * follows the newest one, which has just been stored in the same lane. Another lane holds an
   * older record, too, which the owner deletes afterwards.
   */
  public void deleteNewestRecords() {
    for (FakeLog lane : lanes) {
      lane.deleteIf(
          e ->
              time.now() % SWEEP_MILLIS < SLOW_APPEND_MILLIS
                  && isFinalProgress(e)
                  && lanes.stream().filter(l -> l.contains(e.key())).count() > 1
                  && lane.contains(e.key()));
    }
  }

  private static boolean isFinalProgress(Entry entry) {
    LedgerSnapshot snapshot = new LedgerSnapshot();
    snapshot.applyLane(0, entry);
    return snapshot.jobs().stream().anyMatch(JobEntry::isFinalStateStored);
  }

  /** Returns whether an owner has stored that a job has failed. */
  boolean isStoredAsFailed(String job) {
    return stored(job).filter(j -> j.state() == JobState.FAILED).isPresent();
  }

  /** Returns whether an owner has stored that a job is completed. */
  boolean isStoredAsCompleted(String job) {
    return stored(job).filter(j -> j.state() == JobState.COMPLETED).isPresent();
  }

  private Optional<JobEntry> stored(String job) {
    LedgerSnapshot snapshot = new LedgerSnapshot();
    for (int i = 0; i < lanes.size(); i++) {
      int lane = i;
      lanes.get(i).newest().forEach(e -> snapshot.applyLane(lane, e));
    }
    return snapshot.job(job);
  }

  /** Returns the stored progress of the step of a task, unless none is stored. */
  Optional<StepProgress> storedProgress(TaskId task) {
    return stored(task.job()).flatMap(JobEntry::progress).stream()
        .flatMap(p -> p.steps().stream())
        .filter(s -> s.occurrence() == task.occurrence() && s.step() == task.step())
        .findFirst();
  }

  /** Returns all partitions of the ledger. */
  public List<FakeLog> ledger() {
    return Stream.of(List.of(ownership), lanes, inbox).flatMap(List::stream).toList();
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

  GangRuns gangRuns() {
    return gangRuns;
  }

  /** Sets the fraction of the runs of gangs that fail before their work is done. */
  public void earlyGangFailureRate(double rate) {
    gangRuns.earlyFailureRate(rate);
  }

  /** Sets what is called when an executor lists the end of a run. */
  public void onRunEnded(Consumer<EndedRun> listener) {
    endListener = listener;
  }

  void runEnded(EndedRun end) {
    endListener.accept(end);
  }

  /** Sets what is called when an owner has acknowledged the end of a run. */
  public void onEndAcknowledged(Consumer<EndedRun> listener) {
    acknowledgementListener = listener;
  }

  void endAcknowledged(EndedRun end) {
    oracle.acknowledged(end);
    acknowledgementListener.accept(end);
  }

  /** Returns the specification of the step of a task. */
  public StepSpec step(TaskId task) {
    return oracle.spec(task.job()).steps().get(task.step());
  }

  public List<FakeExecutor> executors() {
    return List.copyOf(executors.values());
  }

  /** Adds a line about an executor to the log if fuzz tests print it. */
  void trace(FakeExecutor executor, Supplier<String> what) {
    if (TRACE) {
      testLog.add(
          "%d ms: %s of boot %d %s"
              .formatted(time.now(), executor.id(), executor.info().bootMillis(), what.get()));
    }
  }

  /** Returns the lines that the hosts have logged so far. */
  public List<String> logLines() {
    return testLog.lines();
  }

  /** Records each internal error that a host has logged as a violation. */
  public void recordInternalErrors() {
    logLines().stream()
        .filter(l -> l.contains("INTERNAL_ERROR"))
        .forEach(l -> oracle.recordViolation("error", l));
  }

  /** Returns whether no fault is active, so that guarantees with a time bound have to hold. */
  public boolean isFaultFree() {
    return faultFree;
  }

  /** Returns whether no fault has been active since a time. */
  boolean isFaultFreeSince(long millis) {
    return faultFree && faultFreeSince <= millis;
  }

  public void faultFree(boolean value) {
    if (value && !faultFree) {
      faultFreeSince = time.now();
    }
    faultFree = value;
  }

  /** Sets the duration of each task in milliseconds on an executor that is not slowed down. */
  public void taskWorkMillis(Function<TaskId, Long> millis) {
    taskWorkMillis = millis;
  }

  /** Sets how the runs of each task end. */
  public void taskEnd(Function<TaskId, ExecutorClient.EndReason> reasonByTask) {
    taskEnd = reasonByTask;
  }

  /** Sets the fraction of executors, from 0 to 1, that the advice service allows for a step. */
  public void allowedExecutorShare(double share) {
    allowedExecutorShare = share;
  }

  /**
   * How the advice service handles the steps of a queue.
   *
   * @param settings duration of a call, and how long its tickets are valid
   * @param allowedShare fraction of executors, from 0 to 1, that it allows for a step
   */
  public record AdviceTerms(AdviceSettings settings, double allowedShare) {}

  /**
   * Sets the terms by the name of the queue. For these queues, calls take their time, and executors
   * check the tickets.
   */
  public void adviceTerms(Map<String, AdviceTerms> termsByQueue) {
    adviceTerms = Map.copyOf(termsByQueue);
  }

  private Optional<AdviceTerms> adviceTerms(String job) {
    return Optional.ofNullable(adviceTerms.get(oracle.spec(job).queue().name()));
  }

  /**
   * Sets the highest number of milliseconds by which the close of a link between hosts arrives
   * later than what is sent on other links.
   */
  public void lateCloses(int maxMillis) {
    network.closeDelayMillis(() -> random.nextInt(maxMillis + 1));
  }

  /** Sets after how many milliseconds the runs of long-running tasks fail; empty for never. */
  public void lifeMillis(Function<TaskId, OptionalLong> millis) {
    lifeMillis = millis;
  }

  OptionalLong lifeMillis(TaskId task) {
    return lifeMillis.apply(task);
  }

  long workMillis(TaskId task) {
    return taskWorkMillis.apply(task);
  }

  ExecutorClient.EndReason endOf(TaskId task, int run) {
    return taskEnd.apply(task);
  }

  /**
   * Sets the time after which an evacuated zone may get no more starts, for hosts that start from
   * now on.
   */
  public void evacuateMillis(long millis) {
    evacuateMillis = millis;
  }

  /** Evacuates an availability zone, as an operator does. */
  public void evacuate(String zone) {
    writeZone(zone, new byte[] {1});
    oracle.evacuated(zone);
  }

  /** Returns an availability zone to use. */
  public void returnToUse(String zone) {
    writeZone(zone, null);
    oracle.returnedToUse(zone);
  }

  private void writeZone(String zone, byte[] value) {
    try {
      operators.append(List.of(new Entry(ZONE_KEY_PREFIX + zone, value, 0)), Optional.empty());
    } catch (StoreException e) {
      throw new IllegalStateException(e);
    }
  }

  public Host addHost(String name) {
    return addHost(name, MILLI_PROCESSORS);
  }

  /** Adds an entry host with the given processing power, in thousandths of a processor. */
  public Host addHost(String name, int milliProcessors) {
    Host host = new Host(name, milliProcessors);
    hosts.add(host);
    host.start();
    return host;
  }

  public FakeExecutor addExecutor(String id, Resources capacity) {
    return addExecutor(id, "zone", capacity);
  }

  /** Adds an executor in an availability zone. */
  public FakeExecutor addExecutor(String id, String zone, Resources capacity) {
    return add(new FakeExecutor(id, id + ":80", zone, this, capacity, time));
  }

  /** Adds an executor that takes the place, and the address, of one that is down for good. */
  public FakeExecutor replaceExecutor(FakeExecutor gone, String id) {
    FakeExecutor next =
        new FakeExecutor(id, gone.address(), gone.zone(), this, gone.capacity(), time);
    gone.replacedBy(next);
    return add(next);
  }

  private FakeExecutor add(FakeExecutor executor) {
    executors.put(executor.id(), executor);
    announce(executor);
    return executor;
  }

  /** Returns whether an executor is announced. */
  public boolean isListed(FakeExecutor executor) {
    return listed.contains(executor.id());
  }

  /** Brings the machine of a crashed executor back as an executor with another id. */
  public FakeExecutor replace(FakeExecutor old) {
    removeAnnouncement(old);
    return replaceExecutor(old, old.address() + "#" + executors.size());
  }

  /** Sets after how many milliseconds the start of a task crashes its executor, if it does. */
  public void crashDelayMillis(Function<TaskId, OptionalLong> delay) {
    crashDelay = delay;
  }

  OptionalLong crashDelayMillis(TaskId task) {
    return crashDelay.apply(task);
  }

  /** Injects faults of the code into the calls that hosts send to executors from now on. */
  public void callFaults(Set<CallFault> faults) {
    callFaults = Set.copyOf(faults);
  }

  /** Sets whether starts that are on their way for seconds are carried out, or are lost. */
  public void lateStarts(boolean value) {
    lateStarts = value;
  }

  /** Sets whether the machine of an executor that a task has crashed returns under its old id. */
  public void keepsIdAfterCrash(Predicate<FakeExecutor> keeps) {
    keepsId = keeps;
  }

  /**
   * Sets what is called when a task crashes its executor, with the milliseconds until its machine
   * is back.
   */
  public void onCrashByTask(LongConsumer listener) {
    crashByTaskListener = listener;
  }

  void crashedByTask(FakeExecutor executor) {
    crashByTaskListener.accept(RETURN_MILLIS);
    time.after(RETURN_MILLIS, () -> restart(executor));
  }

  /** Brings the machine of an executor back, unless it is up or was replaced. */
  public void restart(FakeExecutor executor) {
    if (executor.isUp() || executor.isReplaced()) {
      return;
    }
    if (keepsId.test(executor)) {
      executor.boot();
      announce(executor);
    } else {
      replace(executor);
    }
  }

  /** Publishes the announcement of an executor, as an executor does periodically. */
  public void announce(FakeExecutor executor) {
    listed.add(executor.id());
    put(executor, ByteBuffer.allocate(Integer.BYTES).putInt(announced.size()).array());
    announced.add(executor.info());
  }

  /** Publishes an announcement of an executor that no host can read. */
  public void announceUnreadable(FakeExecutor executor) {
    put(executor, new byte[] {1});
  }

  /** Lets all executors announce themselves again and again, as long as they are up. */
  public void announcePeriodically() {
    executors.values().stream().filter(FakeExecutor::isUp).forEach(this::announce);
    time.after(Oracle.ANNOUNCEMENT_MILLIS, this::announcePeriodically);
  }

  /** Deletes the announcement of an executor. */
  public void removeAnnouncement(FakeExecutor executor) {
    listed.remove(executor.id());
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
            topic(ownership, host),
            lanes.stream().map(l -> topic(l, host)).toList(),
            inbox.stream().map(l -> topic(l, host)).toList(),
            new FakeTopic(operators, host.storeLink, time),
            new FakeTopic(announcements, host.storeLink, time),
            entry -> readConfiguration(host, entry),
            ClusterSimulation::readZone,
            this::readExecutor,
            new HostExecutors(host),
            new FakeAdvice(host),
            network.start(host.name, task -> host.run(incarnation, task)),
            timers);
    HostIdentity self =
        new HostIdentity(
            host.name,
            host.name + "#" + incarnation,
            FakeNetwork.address(host.name),
            host.milliProcessors);
    HostSettings settings =
        new HostSettings(
            self,
            schedulerSettings(),
            new ClaimPolicy(500, 1_500, 40),
            configurationBounds,
            1_800,
            StoreLimits.DEFAULT);
    return new EntryHost(ports, settings, log, new Random(random.nextLong()));
  }

  private SchedulerSettings schedulerSettings() {
    return SchedulerSettings.builder()
        .maxLeaseMillis(FakeExecutor.MAX_LEASE_MILLIS)
        .stopMillis(100)
        .evacuateMillis(evacuateMillis)
        .build();
  }

  private static Optional<ZoneRecord> readZone(Entry entry) {
    return entry.key().startsWith(ZONE_KEY_PREFIX)
        ? Optional.of(
            new ZoneRecord(entry.key().substring(ZONE_KEY_PREFIX.length()), entry.value() != null))
        : Optional.empty();
  }

  private KeyedTopic topic(FakeLog log, Host host) {
    return new FakeTopic(log, host.storeLink, time);
  }

  private Optional<ExecutorInfo> readExecutor(Entry entry) {
    return entry.value().length == Integer.BYTES
        ? Optional.of(announced.get(ByteBuffer.wrap(entry.value()).getInt()))
        : Optional.empty();
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
      return time.now() - host.suspendedMillis;
    }

    @Override
    public long wallMillis() {
      return time.now() + host.wallOffsetMillis;
    }

    @Override
    public void after(long millis, Runnable task) {
      time.after(millis, () -> host.run(incarnation, task));
    }
  }

  private final class HostExecutors implements ExecutorClient {
    private static final long CALL_TIMEOUT_MILLIS = 500;

    private final Host host;

    /** The highest number up to which the host has acknowledged ends, by executor. */
    private final Map<String, Long> acknowledgedEnds = new HashMap<>();

    HostExecutors(Host host) {
      this.host = host;
    }

    private long fencingToken(long token) {
      return callFaults.contains(CallFault.TOKEN_NOT_RAISED)
          ? token - token % SchedulerSettings.TOKENS_PER_TERM
          : token;
    }

    private StartRequest sent(StartRequest request) {
      return new StartRequest(
          request.task(),
          request.run(),
          request.payload(),
          request.leaseEndMillis(),
          fencingToken(request.fencingToken()),
          request.checkpoint(),
          request.ticket());
    }

    private LeaseRenewalRequest sent(Target executor, LeaseRenewalRequest request) {
      long highest = acknowledgedEnds.merge(executor.id(), request.acknowledgedEnd(), Math::max);
      return new LeaseRenewalRequest(
          request.leaseEndMillis(),
          fencingToken(request.fencingToken()),
          callFaults.contains(CallFault.ACKNOWLEDGEMENT_REPEATED)
              ? highest
              : request.acknowledgedEnd(),
          request.waitMillis());
    }

    private Future<CommandResult> sendCommand(
        Function<FakeExecutor, Future<CommandResult>> command, Target target) {
      return host.executorLink.call(
          execution(command, target), HostExecutors::noAnswer, CALL_TIMEOUT_MILLIS);
    }

    private Supplier<Future<CommandResult>> execution(
        Function<FakeExecutor, Future<CommandResult>> command, Target target) {
      FakeExecutor executor = executors.get(target.id());
      executor.checkCallable();
      long sentAt = time.now();
      return () -> {
        if (executor.isReplaced()) {
          return Future.succeededFuture(new CommandResult.Refused(Refusal.OTHER_BOOT));
        }
        if (executor.isSilent()) {
          return Future.future(promise -> {});
        }
        traceDelay(executor, "command", sentAt);
        return command.apply(executor);
      };
    }

    private void traceDelay(FakeExecutor executor, String call, long sentAt) {
      long delay = time.now() - sentAt;
      if (delay >= TRACED_DELAY_MILLIS) {
        trace(executor, () -> "gets " + call + " of " + host.boot() + " after " + delay + " ms");
      }
    }

    private static Future<CommandResult> noAnswer() {
      return Future.succeededFuture(new CommandResult.Unknown("no answer"));
    }

    @Override
    public Future<CommandResult> start(Target executor, StartRequest decided) {
      StartRequest request = sent(decided);
      if (lateStarts) {
        return sendCommand(e -> e.start(request), executor);
      }
      return host.executorLink.callInTime(
          execution(e -> e.start(request), executor), HostExecutors::noAnswer, CALL_TIMEOUT_MILLIS);
    }

    @Override
    public Future<CommandResult> stop(Target executor, TaskId task, int run, long fencingToken) {
      return sendCommand(e -> e.stop(task, run, fencingToken(fencingToken)), executor);
    }

    @Override
    public Future<CommandResult> pace(
        Target executor, TaskId task, int run, int percent, long fencingToken) {
      return sendCommand(e -> e.pace(task, run, percent, fencingToken(fencingToken)), executor);
    }

    @Override
    public Future<LeaseRenewalResult> renewLeases(Target executor, LeaseRenewalRequest decided) {
      LeaseRenewalRequest request = sent(executor, decided);
      FakeExecutor target = executors.get(executor.id());
      target.checkCallable();
      long sentAt = time.now();
      Future<LeaseRenewalResult> noAnswer =
          Future.succeededFuture(new LeaseRenewalResult.Unknown("no answer"));
      return host.executorLink.call(
          () -> {
            if (target.isReplaced()) {
              return Future.succeededFuture(new LeaseRenewalResult.Refused(Refusal.OTHER_BOOT));
            }
            if (target.isSilent()) {
              return Future.future(promise -> {});
            }
            traceDelay(target, request.toString(), sentAt);
            return target.renewLeases(request);
          },
          () -> noAnswer,
          request.waitMillis() + CALL_TIMEOUT_MILLIS);
    }
  }

  private final class FakeAdvice implements AdviceService {
    private static final long DECIDE_MILLIS = 30;

    private final Host host;

    FakeAdvice(Host host) {
      this.host = host;
    }

    @Override
    public Future<Map<String, String>> requestAdvice(
        StepId step, List<String> named, long timeoutMillis) {
      return host.adviceLink.call(
          () ->
              adviceTerms(step.job())
                  .map(terms -> decide(step, named, terms.settings()))
                  .orElseGet(() -> decide(step, named)),
          () -> Future.failedFuture("no answer"),
          timeoutMillis);
    }

    private Future<Map<String, String>> decide(StepId step, List<String> named) {
      Map<String, String> tickets = new LinkedHashMap<>();
      named.stream().filter(e -> isAllowed(step, e)).forEach(e -> tickets.put(e, "ticket"));
      Promise<Map<String, String>> promise = Promise.promise();
      time.after(DECIDE_MILLIS, () -> promise.complete(tickets));
      return promise.future();
    }

    private Future<Map<String, String>> decide(
        StepId step, List<String> named, AdviceSettings settings) {
      if (named.size() > MAX_EXECUTORS_PER_ADVICE_CALL) {
        return Future.failedFuture(named.size() + " executors named");
      }
      long millis = Math.round(settings.callMillis(named.size()));
      return adviceService.call(host.name, millis, () -> tickets(step, named, settings));
    }
  }

  private Map<String, String> tickets(StepId step, List<String> named, AdviceSettings settings) {
    Map<String, String> tickets = new LinkedHashMap<>();
    named.stream()
        .map(executors::get)
        .filter(e -> isAllowed(step, e.id()))
        .forEach(e -> tickets.put(e.id(), ticket(step, e, time.now() + settings.validityMillis())));
    return tickets;
  }

  private static String ticket(StepId step, FakeExecutor executor, long validUntil) {
    return step + "/" + executor.id() + "/" + executor.info().bootMillis() + "/" + validUntil;
  }

  /** Returns whether an executor accepts the ticket of a start. */
  boolean isTicketValid(FakeExecutor executor, TaskId task, String ticket) {
    if (adviceTerms(task.job()).isEmpty()) {
      return true;
    }
    boolean needed =
        configuration
            .queue(oracle.spec(task.job()).queue().name())
            .filter(Queue::needsAdvice)
            .isPresent();
    StepId step = new StepId(task.job(), task.occurrence(), task.step());
    long validUntil =
        ticket.isEmpty() ? 0 : Long.parseLong(ticket.substring(ticket.lastIndexOf('/') + 1));
    return !needed
        || (time.now() <= validUntil && ticket.equals(ticket(step, executor, validUntil)));
  }

  /** Returns whether the advice service allows a step on an executor. */
  public boolean isAllowed(StepId step, String executor) {
    return adviceTerms(step.job())
        .map(terms -> draw(step, executor) < terms.allowedShare())
        .orElseGet(
            () ->
                alwaysAllowed(executor)
                    || Math.floorMod((step + executor).hashCode(), 100)
                        < allowedExecutorShare * 100);
  }

  /** Returns a number between 0 and 1 that is independent for each step and executor. */
  private static double draw(StepId step, String executor) {
    return new SplittableRandom((step + "/" + executor).hashCode()).nextDouble();
  }

  /**
   * Returns whether an executor is one of the first two, which every step may use so that it can
   * run.
   */
  private boolean alwaysAllowed(String executor) {
    String address = executors.get(executor).address();
    return executors.values().stream().limit(2).anyMatch(e -> e.address().equals(address));
  }

  /**
   * Sends a request to a host, which decides by its configuration whether it serves it, and checks
   * the decision.
   */
  public Future<Resolution> request(
      Host host, String callerHost, String path, Optional<String> key) {
    Promise<Resolution> answer = Promise.promise();
    long sentAt = time.now();
    boolean settled = host.isSettled();
    Consumer<Runnable> process = host.currentIncarnation();
    time.after(
        REQUEST_MILLIS,
        () ->
            process.accept(
                () -> {
                  Resolution resolution = host.entry.service().resolve(callerHost, path, key);
                  checkDecision(
                      new ConfigurationHistory.Answer(
                          host.boot(),
                          callerHost,
                          path,
                          key,
                          sentAt,
                          time.now(),
                          verdict(resolution),
                          settled && host.isSettled()));
                  answer.complete(resolution);
                }));
    return answer.future();
  }

  private void checkDecision(ConfigurationHistory.Answer answer) {
    history.check(answer).ifPresent(problem -> oracle.recordViolation("configuration", problem));
  }

  private static ConfigurationHistory.Verdict verdict(Resolution resolution) {
    return switch (resolution) {
      case Resolution.Granted granted -> ConfigurationHistory.Verdict.SERVED;
      case Resolution.NoQueue none -> ConfigurationHistory.Verdict.NO_QUEUE;
      case Resolution.UnknownKey none -> ConfigurationHistory.Verdict.UNKNOWN_KEY;
      case Resolution.Undetermined undetermined -> ConfigurationHistory.Verdict.UNRELATED;
    };
  }

  /**
   * Sends a submission to a host, which routes it by its configuration. The tasks of an accepted
   * job have to start on a service to which a version in force leads the queue.
   *
   * @param job makes the job from the queue and the organisation that the host has found
   */
  public Future<Optional<JobSpec>> submitRouted(
      Host host,
      String callerHost,
      String path,
      String key,
      Function<Resolution.Granted, JobSpec> job) {
    long sentAt = time.now();
    boolean settled = host.isSettled();
    return request(host, callerHost, path, Optional.of(key))
        .compose(
            resolution -> {
              if (!(resolution instanceof Resolution.Granted granted)) {
                return Future.succeededFuture(Optional.empty());
              }
              JobSpec spec = job.apply(granted);
              oracle.routed(spec, sentAt, settled);
              return submit(host, spec)
                  .map(
                      outcome ->
                          outcome instanceof Outcome.Accepted
                              ? Optional.of(spec)
                              : Optional.empty());
            });
  }

  /** Returns the services on which the tasks of a job may start. */
  Set<String> servicesAllowed(String queue, long sentAt, boolean settled) {
    return history.servicesAllowed(queue, sentAt, settled);
  }

  /** Submits a job to a host; the outcome says whether the host accepted it. */
  public Future<Outcome> submit(Host host, JobSpec spec) {
    oracle.submitted(spec);
    return host.entry
        .service()
        .submit(spec, 3_000)
        .onSuccess(outcome -> oracle.answered(spec, outcome));
  }

  /** Cancels a job at a host; the oracle records the cancellation once the host accepts it. */
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
