package io.cactusspring.jobs.control;

import io.cactusspring.jobs.ledger.JobEntry;
import io.cactusspring.jobs.ledger.LedgerSnapshot;
import io.cactusspring.jobs.ledger.OwnerRecord;
import io.cactusspring.jobs.link.PeerMessage.OwnerPhase;
import io.cactusspring.jobs.log.JobEvent;
import io.cactusspring.jobs.log.JobLog;
import io.cactusspring.jobs.model.ExecutorInfo;
import io.cactusspring.jobs.model.SiteConfiguration;
import io.cactusspring.jobs.model.ZoneStates;
import io.cactusspring.jobs.port.AdviceService;
import io.cactusspring.jobs.port.KeyedTopic;
import io.cactusspring.jobs.port.KeyedTopic.Entry;
import io.cactusspring.jobs.port.Timers;
import io.cactusspring.jobs.schedule.DecisionListener;
import io.cactusspring.jobs.schedule.EndedJob;
import io.cactusspring.jobs.schedule.InheritedLeases;
import io.cactusspring.jobs.schedule.JobScheduler;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * One term of this host as the owner of the executors, from its stored claim on.
 *
 * <p>The takeover fences all lanes, so that no earlier owner can store a decision any more, and
 * then reads the whole ledger. Only then does the term become active.
 */
final class OwnerTerm implements PeerServer.Term {
  private static final long TAKEOVER_TICK_MILLIS = 50;
  private static final long LOAD_RETRY_MILLIS = 50;
  private static final long INBOX_WAIT_MILLIS = 2_000;
  private static final long INBOX_PAUSE_MILLIS = 5;
  private static final long ANNOUNCEMENTS_WAIT_MILLIS = 1_000;
  private static final long ANNOUNCEMENTS_PAUSE_MILLIS = 200;

  private final HostPorts ports;
  private final HostSettings settings;
  private final JobLog log;
  private final Timers timers;
  private final OwnerRecord claim;
  private final TopicFollower operators;
  private final Supplier<ZoneStates> zones;
  private final Consumer<OwnerTerm> onPhaseChange;
  private final LaneWriter lanes;
  private final InboxWriter inbox;
  private final HeartbeatWriter heartbeats;
  private final AdviceDispatcher advice;
  private final TopicFollower announcements;
  private final List<TopicFollower> inboxFollowers = new ArrayList<>();
  private LedgerSnapshot snapshot = new LedgerSnapshot();
  private final Map<String, ExecutorInfo> executors = new HashMap<>();
  private final long claimedAt;
  private InheritedLeases earlierLeases;
  private final Map<String, Double> inheritedFactors;
  private SiteConfiguration configuration;
  private Optional<OwnerController> controller = Optional.empty();
  private boolean lanesLoaded;
  private boolean operatorsRead;
  private boolean refreshing;
  private boolean releasing;
  private boolean ended;

  /**
   * Creates a term.
   *
   * @param claim the stored claim
   * @param end offset that follows the claim in the ownership partition
   * @param claimSentAt when the claim was first sent
   * @param earlierLeases when the leases of earlier owners have lapsed
   * @param firstSequence sequence number of the first append to each lane
   * @param inheritedFactors duration factors of executor labels that a previous owner learned
   * @param operators follows the records of the operators
   * @param zones returns the states of the availability zones
   * @param onPhaseChange called when the term has become active or has ended
   */
  OwnerTerm(
      HostPorts ports,
      HostSettings settings,
      JobLog log,
      OwnerRecord claim,
      long end,
      long claimSentAt,
      InheritedLeases earlierLeases,
      long firstSequence,
      SiteConfiguration configuration,
      Map<String, Double> inheritedFactors,
      TopicFollower operators,
      Supplier<ZoneStates> zones,
      Consumer<OwnerTerm> onPhaseChange) {
    this.ports = ports;
    this.settings = settings;
    this.log = log;
    this.claim = claim;
    this.configuration = configuration;
    this.inheritedFactors = inheritedFactors;
    this.operators = operators;
    this.zones = zones;
    this.onPhaseChange = onPhaseChange;
    this.earlierLeases = earlierLeases;
    timers = ports.timers();
    claimedAt = timers.nowMillis();
    lanes =
        new LaneWriter(
            ports.lanes(),
            claim.term(),
            firstSequence,
            settings.store().requestBytes(),
            timers,
            log,
            () -> !ended);
    inbox = new InboxWriter(ports.inbox(), log);
    heartbeats =
        new HeartbeatWriter(
            ports.ownership(),
            claim,
            end,
            claimSentAt,
            now -> this.earlierLeases.bounds(now),
            timers,
            this::superseded);
    advice = new AdviceDispatcher(ports.advice(), timers);
    announcements =
        new TopicFollower(
            "executors",
            ports.announcements(),
            new AnnouncementSink(),
            timers,
            log,
            ANNOUNCEMENTS_WAIT_MILLIS,
            () -> ANNOUNCEMENTS_PAUSE_MILLIS);
    for (int i = 0; i < ports.inbox().size(); i++) {
      inboxFollowers.add(inboxFollower(i));
    }
  }

  private TopicFollower inboxFollower(int partition) {
    return new TopicFollower(
        "inbox" + partition,
        ports.inbox().get(partition),
        new InboxSink(),
        timers,
        log,
        INBOX_WAIT_MILLIS,
        () -> INBOX_PAUSE_MILLIS);
  }

  /** Starts the takeover. */
  void start() {
    log.event(JobEvent.TAKING_OVER, "term", claim.term());
    announcements.start();
    lanes
        .fence()
        .onComplete(
            fenced -> {
              // Before its lanes are fenced, an earlier owner may start jobs of the inbox.
              inboxFollowers.forEach(TopicFollower::start);
              loadLanes();
            },
            problem -> {
              if (!ended) {
                superseded("a lane could not be fenced: " + problem.getMessage());
              }
            });
    readOperators();
    takeoverTick();
  }

  /**
   * Reads the records of the operators to their end. Until then, this host may not know of a zone
   * that was evacuated, if it was cut off from the store.
   */
  private void readOperators() {
    if (ended) {
      return;
    }
    operators
        .refresh()
        .onComplete(
            done -> {
              operatorsRead = true;
              beginIfLoaded();
            },
            problem -> timers.after(LOAD_RETRY_MILLIS, this::readOperators));
  }

  private void takeoverTick() {
    if (!ended && controller.isEmpty()) {
      heartbeats.tick();
      timers.after(TAKEOVER_TICK_MILLIS, this::takeoverTick);
    }
  }

  private void loadLanes() {
    List<Future<Void>> loads = new ArrayList<>();
    for (int i = 0; i < ports.lanes().size(); i++) {
      loads.add(loadLane(i));
    }
    Future.all(loads)
        .onSuccess(
            done -> {
              lanesLoaded = true;
              beginIfLoaded();
            });
  }

  private Future<Void> loadLane(int lane) {
    KeyedTopic topic = ports.lanes().get(lane);
    return PageLoader.load(topic)
        .<Void>map(
            page -> {
              page.entries().forEach(e -> snapshot.applyLane(lane, e));
              return null;
            })
        .recover(problem -> retryLoad(lane, problem));
  }

  private Future<Void> retryLoad(int lane, Throwable problem) {
    if (ended) {
      return Future.failedFuture(problem);
    }
    log.event(
        JobEvent.STORE_LOST,
        "topic",
        "lane" + lane,
        "next",
        0,
        "reason",
        String.valueOf(problem.getMessage()));
    return Future.future(p -> timers.after(LOAD_RETRY_MILLIS, () -> loadLane(lane).onComplete(p)));
  }

  private void beginIfLoaded() {
    boolean loaded =
        operatorsRead && lanesLoaded && inboxFollowers.stream().allMatch(TopicFollower::isLoaded);
    if (!loaded || ended || controller.isPresent()) {
      return;
    }
    try {
      begin();
    } catch (RuntimeException e) {
      log.event(JobEvent.INTERNAL_ERROR, "term", claim.term(), "trace", JobLog.trace(e));
      superseded("internal error");
    }
  }

  /** Restores the jobs that can be read; a record that cannot is logged and left out. */
  private List<JobEntry> restore(OwnedJobs jobs, long now) {
    List<JobEntry> restored = new ArrayList<>();
    for (JobEntry entry : snapshot.jobs()) {
      try {
        jobs.restore(entry, now);
        restored.add(entry);
      } catch (RuntimeException e) {
        log.event(
            JobEvent.RECORD_UNREADABLE,
            "topic",
            "ledger",
            "key",
            entry.id(),
            "reason",
            JobLog.trace(e));
      }
    }
    return restored;
  }

  private void begin() {
    long now = timers.nowMillis();
    OwnedJobs jobs = new OwnedJobs(lanes, inbox);
    List<JobEntry> restored = restore(jobs, now);
    JobScheduler scheduler =
        new JobScheduler(
            settings.scheduler(),
            claim.term(),
            restored,
            jobs::spec,
            new DecisionLog(),
            earlierLeases,
            timers.wallMillis(),
            now);
    scheduler.inheritDurationFactors(inheritedFactors);
    scheduler.configure(configuration);
    scheduler.updateZones(zones.get(), now);
    executors.values().forEach(info -> scheduler.executorListed(info, now));
    OwnerController begun =
        new OwnerController(
            scheduler,
            jobs,
            lanes,
            heartbeats,
            ports.executors(),
            advice,
            timers,
            log,
            settings.scheduler().storeGraceMillis(),
            operators::ageMillis,
            announcements::ageMillis,
            this::refreshAnnouncements,
            () -> inboxFollowers.stream().allMatch(TopicFollower::isCaughtUp),
            this::end);
    heartbeats.leases(scheduler::leaseBounds);
    controller = Optional.of(begun);
    log.event(
        JobEvent.CLAIMED,
        "term",
        claim.term(),
        "takeoverMillis",
        now - claimedAt,
        "earlierLeasesMillis",
        Math.max(0, earlierLeases.lapseAt() - now),
        "silentExecutors",
        earlierLeases.silentLapseAt().size(),
        "jobs",
        snapshot.jobs().size(),
        "executors",
        executors.size(),
        "configuration",
        configuration.version(),
        "durationFactors",
        inheritedFactors);
    snapshot = new LedgerSnapshot();
    begun.start();
    onPhaseChange.accept(this);
  }

  /** Reads the announcements at once, because starts are held until they are confirmed. */
  private void refreshAnnouncements() {
    if (refreshing || ended) {
      return;
    }
    refreshing = true;
    announcements
        .refresh()
        .onComplete(
            done -> {
              refreshing = false;
              controller.ifPresent(OwnerController::scheduleRound);
            },
            problem -> refreshing = false);
  }

  /** Applies a configuration. */
  void configure(SiteConfiguration read) {
    configuration = read;
    controller.ifPresent(
        c -> {
          c.scheduler().configure(read);
          c.scheduleRound();
        });
  }

  /** Applies the states of the availability zones at once. */
  void updateZones(ZoneStates read) {
    controller.ifPresent(
        c -> {
          c.scheduler().updateZones(read, timers.nowMillis());
          c.scheduleRound();
        });
  }

  /**
   * Records that the process of the owner before had certainly ended at a time, so that it has
   * granted no lease since.
   */
  void predecessorEnded(long endedAt) {
    InheritedLeases known = earlierLeases;
    earlierLeases = known.lastOwnerEnded(endedAt);
    if (ended || earlierLeases.equals(known)) {
      return;
    }
    long now = timers.nowMillis();
    log.event(
        JobEvent.EARLIER_LEASES_SHORTENED,
        "term",
        claim.term(),
        "beforeMillis",
        InheritedLeases.remaining(known.lapseAt(), now),
        "earlierLeasesMillis",
        InheritedLeases.remaining(earlierLeases.lapseAt(), now));
    controller.ifPresent(
        c -> {
          c.scheduler().earlierLeasesShortened(earlierLeases);
          c.scheduleRound();
        });
  }

  /** Returns whether leases may lapse sooner once the owner before is known to have ended. */
  boolean waitsForPredecessor(long now) {
    return earlierLeases.dependOnLastOwner() && now < earlierLeases.lapseAt();
  }

  /** Ends the term because the ledger names a later owner. */
  void superseded() {
    superseded("the ledger names a later owner");
  }

  private void superseded(String reason) {
    if (controller.isPresent()) {
      controller.get().stepDown(reason);
    } else if (!ended) {
      log.event(JobEvent.STEPPED_DOWN, "term", claim.term(), "reason", reason);
      end();
    }
  }

  private void end() {
    close();
    onPhaseChange.accept(this);
  }

  private void close() {
    ended = true;
    log.oldestWaits(Map.of());
    heartbeats.stop();
    announcements.stop();
    inboxFollowers.forEach(TopicFollower::stop);
  }

  /**
   * Ends the decisions, stores what was decided, and records the release in the ledger, so that
   * another host can claim ownership without waiting for a timeout.
   */
  Future<Void> release() {
    if (ended || releasing) {
      return Future.succeededFuture();
    }
    releasing = true;
    return controller
        .map(OwnerController::finish)
        .orElseGet(Future::succeededFuture)
        .compose(done -> heartbeats.release())
        .onComplete(
            done -> {
              if (!ended) {
                end();
              }
            });
  }

  boolean isEnded() {
    return ended;
  }

  @Override
  public long number() {
    return claim.term();
  }

  @Override
  public OwnerPhase phase() {
    if (ended) {
      return OwnerPhase.NONE;
    }
    return controller.isPresent() ? OwnerPhase.ACTIVE : OwnerPhase.TAKING_OVER;
  }

  @Override
  public long lastStoredSentAt() {
    return Math.max(lanes.lastStoredSentAt(), heartbeats.lastStoredSentAt());
  }

  @Override
  public Map<String, Double> durationFactors() {
    return controller.map(c -> c.scheduler().durationFactors()).orElse(inheritedFactors);
  }

  @Override
  public Optional<OwnerController> controller() {
    return ended || releasing ? Optional.empty() : controller;
  }

  @Override
  public void hostAdded(String host, AdviceService service) {
    advice.addHost(host, service);
  }

  @Override
  public void hostRemoved(String host, AdviceService service) {
    advice.removeHost(host, service);
  }

  /** Logs the decisions of the scheduler. */
  private final class DecisionLog implements DecisionListener {
    @Override
    public void decisionMade(Kind kind, String job, String subject, String reason) {
      log.event(
          JobEvent.DECISION,
          "decision",
          kind,
          "job",
          job,
          "subject",
          subject,
          "reason",
          reason,
          "term",
          claim.term(),
          "storeAgeMillis",
          timers.nowMillis() - lastStoredSentAt());
    }

    @Override
    public void errorContained(Kind kind, String job, String executor, RuntimeException problem) {
      decisionMade(kind, job, executor, JobLog.trace(problem));
    }

    @Override
    public void jobEnded(EndedJob job) {
      log.jobEnded(job, claim.term());
    }

    @Override
    public void oldestWaits(Map<String, Long> millisByReason) {
      log.oldestWaits(millisByReason);
    }
  }

  private final class InboxSink implements TopicSink {
    @Override
    public void apply(Entry entry) {
      if (controller.isPresent()) {
        controller.get().inboxRecord(entry);
      } else {
        snapshot.applyInbox(entry);
      }
    }

    @Override
    public void loaded(Set<String> keys) {}

    @Override
    public void caughtUp() {
      beginIfLoaded();
    }
  }

  private final class AnnouncementSink implements TopicSink {
    @Override
    public void apply(Entry entry) {
      if (entry.value() == null) {
        remove(entry.key());
      } else {
        ports.readExecutor().apply(entry).ifPresent(this::put);
      }
    }

    private void put(ExecutorInfo info) {
      executors.put(info.id(), info);
      controller.ifPresent(c -> c.scheduler().executorListed(info, timers.nowMillis()));
    }

    private void remove(String id) {
      executors.remove(id);
      controller.ifPresent(c -> c.scheduler().executorUnlisted(id));
    }

    @Override
    public void loaded(Set<String> keys) {
      List.copyOf(executors.keySet()).stream()
          .filter(id -> !keys.contains(id))
          .forEach(this::remove);
    }

    @Override
    public void caughtUp() {
      controller.ifPresent(OwnerController::scheduleRound);
    }
  }
}
