package io.cactusspring.jobs.control;

import io.cactusspring.jobs.ledger.JobEntry;
import io.cactusspring.jobs.ledger.JobLedger;
import io.cactusspring.jobs.ledger.LedgerCodec;
import io.cactusspring.jobs.ledger.LedgerListener;
import io.cactusspring.jobs.ledger.OwnerRecord;
import io.cactusspring.jobs.log.JobEvent;
import io.cactusspring.jobs.log.JobLog;
import io.cactusspring.jobs.model.SiteConfiguration;
import io.cactusspring.jobs.port.KeyedTopic.Entry;
import io.cactusspring.jobs.port.KeyedTopic.FencedWriter;
import io.cactusspring.jobs.port.StoreException;
import io.cactusspring.jobs.port.Timers;
import io.cactusspring.jobs.schedule.DecisionListener;
import io.cactusspring.jobs.schedule.JobScheduler;
import io.vertx.core.Future;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * An entry host: follows the topics of the store, serves callers, and owns the executors after it
 * has claimed them.
 *
 * <p>All methods must be called on one thread, which also runs all callbacks.
 *
 * @since 0.2
 */
public final class EntryHost {
  private static final long TICK_MILLIS = 100;
  // A longer time between two ticks means that the process was paused.
  private static final long PAUSE_DETECTION_MILLIS = 1_000;
  private static final long LEDGER_WAIT_MILLIS = 1_000;
  private static final long CONFIGURATION_WAIT_MILLIS = 800;
  private static final long ANNOUNCEMENTS_WAIT_MILLIS = 1_000;
  private static final long ANNOUNCEMENTS_PAUSE_MILLIS = 200;
  // Each read costs a call to the store; a query for the state of a job reads at once.
  private static final long FOLLOWER_PAUSE_MILLIS = 250;
  private static final long OWNER_PAUSE_MILLIS = 5;
  private static final long CLAIM_RETRY_MILLIS = 150;
  private static final long RETENTION_SWEEP_INTERVAL_MILLIS = 10_000;
  private static final int FIRST_SEQUENCE_BOUND = 1 << 20;

  /** A claim that was sent and may have been stored. */
  private record Claim(OwnerRecord record, long sequence) {}

  private final HostPorts ports;
  private final HostSettings settings;
  private final Timers timers;
  private final JobLog log;
  private final Random random;
  private final JobLedger ledger = new JobLedger(new Listener());
  private final TopicFollower ledgerFollower;
  private final TopicFollower configurationFollower;
  private final TopicFollower announcementsFollower;
  private final RetentionSweep retentionSweep = new RetentionSweep(ledger);
  private final JobService service;
  private final double claimJitter;
  private final Set<String> knownExecutors = new HashSet<>();
  private SiteConfiguration configuration = SiteConfiguration.NONE;
  private OwnerController owner;
  private AdviceDispatcher ownerAdviceDispatcher;
  private long lastOwnerWriteAt;
  private long lastTickAt;
  private long lastSweepAt;
  private Optional<Claim> pendingClaim = Optional.empty();
  private boolean claiming;
  private boolean draining;
  private boolean ready;
  private boolean announced;

  public EntryHost(HostPorts ports, HostSettings settings, JobLog log, Random random) {
    this.ports = ports;
    this.settings = settings;
    this.log = log;
    this.random = random;
    timers = ports.timers();
    claimJitter = random.nextDouble();
    ledgerFollower =
        new TopicFollower(
            "ledger",
            ports.ledger(),
            new LedgerSink(),
            timers,
            log,
            LEDGER_WAIT_MILLIS,
            () -> owner == null ? FOLLOWER_PAUSE_MILLIS : OWNER_PAUSE_MILLIS);
    configurationFollower =
        new TopicFollower(
            "operators",
            ports.operators(),
            new ConfigurationSink(),
            timers,
            log,
            CONFIGURATION_WAIT_MILLIS,
            () -> 0);
    announcementsFollower =
        new TopicFollower(
            "executors",
            ports.announcements(),
            new AnnouncementSink(),
            timers,
            log,
            ANNOUNCEMENTS_WAIT_MILLIS,
            () -> ANNOUNCEMENTS_PAUSE_MILLIS);
    service =
        new JobService(
            ledger,
            ledgerFollower,
            configurationFollower,
            () -> configuration,
            ports.ledger(),
            settings,
            timers,
            log);
  }

  /** Starts following the topics of the store. */
  public void start() {
    lastTickAt = timers.nowMillis();
    ledgerFollower.start();
    configurationFollower.start();
    tick();
  }

  public JobService service() {
    return service;
  }

  /** Returns whether the load balancer should route callers to this host. */
  public boolean isReady() {
    boolean now =
        !draining
            && configuration.version() > 0
            && ledgerFollower.isLoaded()
            && configurationFollower.ageMillis() <= settings.staleMillis();
    if (now != ready) {
      ready = now;
      log.event(
          now ? JobEvent.READY : JobEvent.NOT_READY,
          "draining",
          draining,
          "configuration",
          configuration.version(),
          "configurationAgeMillis",
          configurationFollower.ageMillis(),
          "ledgerLoaded",
          ledgerFollower.isLoaded());
    }
    return now;
  }

  /** Returns whether this host owns the executors. */
  public boolean isOwner() {
    return owner != null;
  }

  /** Releases the ownership of the executors; callers are still served. */
  public Future<Void> drain() {
    draining = true;
    if (owner == null) {
      return Future.succeededFuture();
    }
    OwnerController leaving = owner;
    endTerm();
    return leaving.release();
  }

  private void tick() {
    long now = timers.nowMillis();
    if (now - lastTickAt > PAUSE_DETECTION_MILLIS || ledgerFollower.isOverdue()) {
      // A silent owner may be alive if this process has not read the ledger; restart the timeout.
      ledgerFollower.restartUninterruptedReads();
    }
    lastTickAt = now;
    isReady();
    announce();
    claimIfDue(now);
    dropExpiredJobs(now);
    timers.after(TICK_MILLIS, this::tick);
  }

  /**
   * Announces the address of this process to the other hosts, and that earlier processes on this
   * host have ended.
   */
  private void announce() {
    if (announced || !ledgerFollower.isLoaded()) {
      return;
    }
    announced = true;
    ports
        .ledger()
        .append(List.of(LedgerCodec.peer(settings.self())), Optional.empty())
        .onFailure(problem -> announced = false);
  }

  private void dropExpiredJobs(long now) {
    if (owner == null || now - lastSweepAt < RETENTION_SWEEP_INTERVAL_MILLIS) {
      return;
    }
    lastSweepAt = now;
    List<Entry> tombstones = retentionSweep.tombstones(now);
    if (!tombstones.isEmpty()) {
      ports
          .ledger()
          .append(tombstones, Optional.empty())
          .onFailure(
              problem ->
                  log.event(
                      JobEvent.APPEND_FAILED, "records", tombstones.size(), "reason", problem));
    }
  }

  private void claimIfDue(long now) {
    if (owner != null || claiming || draining) {
      return;
    }
    if (configuration.version() == 0 || !ledgerFollower.isLoaded()) {
      return;
    }
    if (isClaimDue(0, now)) {
      claiming = true;
      // Another host may have claimed since the last read: reads of a busy ledger are rate-limited.
      ledgerFollower
          .refresh()
          .onComplete(read -> claimIfStillDue(now), problem -> claiming = false);
    }
  }

  private boolean isClaimDue(long responseMillis, long now) {
    OwnerRecord current = ledger.owner();
    return settings
        .claims()
        .shouldClaim(
            current,
            ledger.peer(current.host()),
            settings.self(),
            lastOwnerWriteAt,
            ledgerFollower.uninterruptedReadsSince(),
            responseMillis,
            ClaimPolicy.staggerFactor(settings.self(), ledger.peers(), claimJitter),
            now);
  }

  private void claimIfStillDue(long askedAt) {
    long now = timers.nowMillis();
    if (draining || !isClaimDue(now - askedAt, now)) {
      claiming = false;
      return;
    }
    long term = ClaimPolicy.nextTerm(ledger.owner().term(), random.nextInt());
    OwnerRecord record =
        new OwnerRecord(term, settings.self().host(), settings.self().incarnation(), false);
    Claim claim = new Claim(record, random.nextInt(FIRST_SEQUENCE_BOUND));
    pendingClaim = Optional.of(claim);
    append(claim);
  }

  private void append(Claim claim) {
    ports
        .ledger()
        .append(
            List.of(LedgerCodec.owner(claim.record)),
            Optional.of(new FencedWriter(claim.record.term(), claim.sequence)))
        .onComplete(offset -> awaitClaim(claim), problem -> claimFailed(claim, problem));
  }

  private boolean isPending(Claim claim) {
    return pendingClaim.filter(claim::equals).isPresent();
  }

  private void claimFailed(Claim claim, Throwable problem) {
    boolean over =
        StoreException.kindOf(problem) != StoreException.Kind.UNKNOWN
            || ledger.owner().term() > claim.record.term()
            || ledgerFollower.isOverdue()
            || draining;
    if (over) {
      abandonClaim(claim);
    } else if (isPending(claim)) {
      // The claim may have been stored; the store applies a repeated one only once.
      timers.after(CLAIM_RETRY_MILLIS, () -> append(claim));
    }
  }

  private void abandonClaim(Claim claim) {
    if (isPending(claim)) {
      pendingClaim = Optional.empty();
      claiming = false;
    }
  }

  /** Reads the ledger until the claim itself, and thus everything stored before it, was read. */
  private void awaitClaim(Claim claim) {
    if (!isPending(claim)) {
      return;
    }
    if (ledger.owner().term() > claim.record.term() || draining) {
      abandonClaim(claim);
    } else if (!beginTermIfClaimed()) {
      Runnable retry = () -> awaitClaim(claim);
      ledgerFollower
          .refresh()
          .onComplete(done -> retry.run(), problem -> timers.after(CLAIM_RETRY_MILLIS, retry));
    }
  }

  /**
   * Begins the term if the ledger names the pending claim as the owner. The claim may have been
   * read although its append failed or was not answered yet.
   */
  private boolean beginTermIfClaimed() {
    Optional<Claim> claimed = pendingClaim.filter(c -> c.record.equals(ledger.owner()));
    if (claimed.isEmpty() || draining) {
      return false;
    }
    pendingClaim = Optional.empty();
    claiming = false;
    beginTerm(claimed.get().record, claimed.get().sequence);
    return true;
  }

  private void beginTerm(OwnerRecord claim, long sequence) {
    long now = timers.nowMillis();
    AdviceDispatcher adviceDispatcher =
        new AdviceDispatcher(ports.advice(), ports.peers(), timers, settings.self().host());
    JobScheduler scheduler =
        new JobScheduler(
            settings.scheduler(),
            claim.term(),
            ledger.jobs(),
            id -> ledger.job(id).flatMap(JobEntry::spec),
            this::logDecision,
            timers.wallMillis(),
            now);
    scheduler.configure(configuration);
    adviceDispatcher.updateHosts(ledger.peers());
    owner =
        new OwnerController(
            scheduler,
            claim,
            sequence,
            ports.ledger(),
            ports.executors(),
            adviceDispatcher,
            timers,
            log,
            settings.scheduler().storeGraceMillis(),
            this::endTerm);
    ownerAdviceDispatcher = adviceDispatcher;
    log.event(
        JobEvent.CLAIMED,
        "term",
        claim.term(),
        "next",
        ledgerFollower.next(),
        "jobs",
        ledger.jobs().size(),
        "configuration",
        configuration.version());
    announcementsFollower.start();
    owner.start();
  }

  private void endTerm() {
    owner = null;
    ownerAdviceDispatcher = null;
    announcementsFollower.stop();
    knownExecutors.clear();
  }

  private void logDecision(DecisionListener.Kind kind, String job, String subject, String reason) {
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
        owner == null ? 0 : owner.term(),
        "ledgerAgeMillis",
        ledgerFollower.ageMillis());
  }

  private final class LedgerSink implements TopicSink {
    @Override
    public void apply(Entry entry) {
      ledger.apply(entry);
    }

    @Override
    public void loaded(Set<String> keys) {
      lastOwnerWriteAt = timers.nowMillis();
    }

    @Override
    public void caughtUp() {
      if (owner != null) {
        ownerAdviceDispatcher.updateHosts(ledger.peers());
        owner.scheduleRound();
      }
      beginTermIfClaimed();
      claimIfDue(timers.nowMillis());
    }
  }

  private final class ConfigurationSink implements TopicSink {
    @Override
    public void apply(Entry entry) {
      ports.readConfiguration().apply(entry).ifPresent(this::activate);
    }

    private void activate(SiteConfiguration read) {
      if (read.version() <= configuration.version()) {
        return;
      }
      configuration = read;
      log.event(JobEvent.CONFIGURATION, "version", read.version());
      if (owner != null) {
        owner.scheduler().configure(read);
        owner.scheduleRound();
      }
    }

    @Override
    public void loaded(Set<String> keys) {}
  }

  private final class AnnouncementSink implements TopicSink {
    @Override
    public void apply(Entry entry) {
      if (owner == null) {
        return;
      }
      if (entry.value() == null) {
        removeExecutor(entry.key());
        return;
      }
      ports
          .readExecutor()
          .apply(entry)
          .ifPresent(
              info -> {
                knownExecutors.add(info.id());
                owner.scheduler().executorListed(info, timers.nowMillis());
              });
    }

    private void removeExecutor(String id) {
      knownExecutors.remove(id);
      owner.scheduler().executorUnlisted(id);
    }

    @Override
    public void loaded(Set<String> keys) {
      if (owner != null) {
        List.copyOf(knownExecutors).stream()
            .filter(id -> !keys.contains(id))
            .forEach(this::removeExecutor);
      }
    }

    @Override
    public void caughtUp() {
      if (owner != null) {
        owner.scheduleRound();
      }
    }
  }

  private final class Listener implements LedgerListener {
    @Override
    public void submitted(JobEntry job) {
      if (owner != null) {
        owner.scheduler().submitted(job, timers.wallMillis(), timers.nowMillis());
        owner.scheduleRound();
      }
    }

    @Override
    public void cancelled(JobEntry job) {
      if (owner != null) {
        owner.scheduler().cancelled(job.id(), timers.nowMillis());
        owner.scheduleRound();
      }
    }

    @Override
    public void ownerChanged(OwnerRecord record) {
      log.event(
          JobEvent.OWNER_CHANGED,
          "term",
          record.term(),
          "owner",
          record.host(),
          "released",
          record.released());
      if (owner != null && record.term() > owner.term()) {
        log.event(
            JobEvent.STEPPED_DOWN,
            "term",
            owner.term(),
            "reason",
            "the ledger names a later owner");
        owner.stop();
        endTerm();
      }
    }

    @Override
    public void onOwnerRecord(long term) {
      if (term == ledger.owner().term()) {
        lastOwnerWriteAt = timers.nowMillis();
      }
    }
  }
}
