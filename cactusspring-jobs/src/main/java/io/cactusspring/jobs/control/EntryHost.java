package io.cactusspring.jobs.control;

import io.cactusspring.jobs.ledger.OwnerRecord;
import io.cactusspring.jobs.log.JobEvent;
import io.cactusspring.jobs.log.JobLog;
import io.cactusspring.jobs.model.SiteConfiguration;
import io.cactusspring.jobs.model.ZoneStates;
import io.cactusspring.jobs.port.KeyedTopic.Entry;
import io.cactusspring.jobs.port.Timers;
import io.cactusspring.jobs.schedule.InheritedLeases;
import io.vertx.core.Future;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * An entry host: follows the operators' configuration, serves callers, and owns the executors after
 * it has claimed them.
 *
 * <p>All methods must be called on one thread, which also runs all callbacks.
 *
 * @since 0.2
 */
public final class EntryHost {
  private static final long TICK_MILLIS = 50;
  // A longer time between two ticks means that the process was paused.
  private static final long PAUSE_DETECTION_MILLIS = 1_000;
  private static final long MIN_CONFIGURATION_WAIT_MILLIS = 100;
  private static final long MAX_CONFIGURATION_WAIT_MILLIS = 800;

  /** Time to notice that a read is late and to repeat it. */
  private static final long REPEATED_READ_MARGIN_MILLIS = 300;

  private static final int FIRST_SEQUENCE_BOUND = 1 << 20;

  private final HostPorts ports;
  private final HostSettings settings;
  private final Timers timers;
  private final JobLog log;
  private final Random random;
  private final TopicFollower configurationFollower;
  private final StoreWatchdog watchdog;
  private final ZoneTracker zones;
  private final PeerServer peers;
  private final OwnerLink link;

  /** The link to the owner before this host, until that one is known to have ended. */
  private final OwnerLink predecessorLink;

  private final OwnershipMonitor monitor;
  private final JobService service;
  private final EventLoopLag lag = new EventLoopLag();
  private boolean lagging;
  private boolean readOverdue;
  private SiteConfiguration configuration = SiteConfiguration.NONE;
  private Optional<OwnerTerm> term = Optional.empty();
  private long lastTickAt;
  private boolean draining;
  private boolean ready;

  public EntryHost(HostPorts ports, HostSettings settings, JobLog log, Random random) {
    this.ports = ports;
    this.settings = settings;
    this.log = log;
    this.random = random;
    timers = ports.timers();
    zones = new ZoneTracker(ports.readZone(), timers, log, this::zonesChanged);
    configurationFollower =
        new TopicFollower(
            "operators",
            ports.operators(),
            new ConfigurationSink(),
            timers,
            log,
            configurationWaitMillis(settings),
            () -> 0);
    watchdog = new StoreWatchdog(configurationFollower, timers, log);
    peers = new PeerServer(ports.network(), settings.self(), timers, log);
    link = newLink(this::checkOwnership);
    predecessorLink = newLink(this::checkPredecessor);
    monitor =
        new OwnershipMonitor(
            ports.ownership(),
            link,
            configurationFollower,
            settings.claims(),
            settings.self(),
            new EarlierLeases(settings.scheduler()),
            timers,
            log,
            random,
            new OwnershipHost());
    service =
        new JobService(
            this::owner,
            new InboxWriter(ports.inbox(), log),
            new LedgerReader(ports.lanes(), ports.inbox()),
            configurationFollower,
            watchdog,
            () -> configuration,
            settings,
            timers,
            log,
            lag);
  }

  private OwnerLink newLink(Runnable onChange) {
    return new OwnerLink(
        ports.network(), timers, log, settings.self(), ports.advice(), random, onChange);
  }

  /**
   * Returns how long a read of the configuration waits. The data may be as old as two waits and a
   * response before the next read completes; that has to stay below its maximum age.
   */
  private static long configurationWaitMillis(HostSettings settings) {
    long maxAge = settings.configurationBounds().maxAgeMillis();
    long wait =
        Math.clamp(
            (maxAge - REPEATED_READ_MARGIN_MILLIS) / 2,
            MIN_CONFIGURATION_WAIT_MILLIS,
            MAX_CONFIGURATION_WAIT_MILLIS);
    long maxZoneAge = settings.scheduler().maxZoneAgeMillis();
    return maxZoneAge == 0 ? wait : Math.min(wait, maxZoneAge / 3);
  }

  /** Starts following the topics of the store. */
  public void start() {
    lastTickAt = timers.nowMillis();
    configurationFollower.start();
    peers.start();
    tick();
  }

  public JobService service() {
    return service;
  }

  /** Returns whether the load balancer should route callers to this host. */
  public boolean isReady() {
    boolean now =
        !draining
            && lag.isReady()
            && configuration.version() > 0
            && configurationFollower.ageMillis() <= settings.readyMillis();
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
          "eventLoopLagMillis",
          lag.averageMillis());
    }
    return now;
  }

  private void logOverdueRead() {
    boolean overdue = configuration.version() > 0 && configurationFollower.isOverdue();
    if (overdue && !readOverdue) {
      log.event(
          JobEvent.READ_OVERDUE,
          "topic",
          "operators",
          "next",
          configurationFollower.next(),
          "configuration",
          configuration.version(),
          "configurationAgeMillis",
          configurationFollower.ageMillis());
    }
    readOverdue = overdue;
  }

  private void measureLag(long now) {
    lag.taskRan(now - lastTickAt - TICK_MILLIS, now);
    if (lag.isLagging() != lagging) {
      lagging = lag.isLagging();
      log.event(
          lagging ? JobEvent.EVENT_LOOP_LAGS : JobEvent.EVENT_LOOP_RECOVERED,
          "averageMillis",
          lag.averageMillis());
    }
  }

  /** Returns whether this host owns the executors. */
  public boolean isOwner() {
    return term.flatMap(OwnerTerm::controller).isPresent();
  }

  /** Returns whether this host is connected to another one that owns the executors. */
  public boolean isLinked() {
    return term.isEmpty() && link.isFresh();
  }

  /** Releases the ownership of the executors; callers are still served. */
  public Future<Void> drain() {
    draining = true;
    return term.map(OwnerTerm::release).orElseGet(Future::succeededFuture);
  }

  private Optional<OwnerRequests> owner() {
    Optional<OwnerController> own = term.flatMap(OwnerTerm::controller);
    return own.isPresent()
        ? own.map(c -> new LocalOwner(c, timers))
        : link.calls().map(RemoteOwner::new);
  }

  private void tick() {
    long now = timers.nowMillis();
    if (now - lastTickAt > PAUSE_DETECTION_MILLIS) {
      monitor.paused();
    }
    measureLag(now);
    logOverdueRead();
    watchdog.check();
    lastTickAt = now;
    isReady();
    checkOwnership();
    watchPredecessor(now);
    timers.after(TICK_MILLIS, this::tick);
  }

  private void watchPredecessor(long now) {
    if (term.filter(t -> t.waitsForPredecessor(now)).isPresent()) {
      predecessorLink.tick();
    } else {
      predecessorLink.stop();
    }
  }

  private void checkPredecessor() {
    if (predecessorLink.endedAt() < Long.MAX_VALUE) {
      term.ifPresent(t -> t.predecessorEnded(predecessorLink.endedAt()));
      predecessorLink.stop();
    }
  }

  private void checkOwnership() {
    monitor.check();
  }

  private void zonesChanged(ZoneStates states) {
    term.ifPresent(t -> t.updateZones(states));
  }

  private void termChanged(OwnerTerm changed) {
    if (changed.isEnded() && term.filter(t -> t == changed).isPresent()) {
      term = Optional.empty();
      predecessorLink.stop();
      link.rememberDurationFactors(changed.durationFactors());
      monitor.termEnded(changed.number());
    }
    peers.termChanged();
  }

  private final class OwnershipHost implements OwnershipMonitor.Host {
    @Override
    public boolean mayClaim() {
      return !draining && configuration.version() > 0;
    }

    @Override
    public boolean isOwner() {
      return term.isPresent();
    }

    @Override
    public void claimed(
        OwnerRecord claim,
        long end,
        long sentAt,
        OwnerRecord predecessor,
        InheritedLeases earlierLeases) {
      OwnerTerm begun =
          new OwnerTerm(
              ports,
              settings,
              log,
              claim,
              end,
              sentAt,
              earlierLeases,
              random.nextInt(FIRST_SEQUENCE_BOUND),
              configuration,
              link.durationFactors(),
              configurationFollower,
              zones::states,
              EntryHost.this::termChanged);
      term = Optional.of(begun);
      peers.setTerm(begun);
      begun.start();
      if (begun.waitsForPredecessor(timers.nowMillis())) {
        predecessorLink.follow(predecessor);
      }
      if (draining) {
        begun.release();
      }
    }

    @Override
    public void ownerChanged(OwnerRecord owner) {
      term.filter(t -> t.number() < owner.term()).ifPresent(OwnerTerm::superseded);
    }
  }

  private final class ConfigurationSink implements TopicSink {
    @Override
    public void apply(Entry entry) {
      zones.apply(entry, configurationFollower.ageMillis());
      ports.readConfiguration().apply(entry).ifPresent(this::activate);
    }

    private void activate(SiteConfiguration read) {
      if (read.version() <= configuration.version()) {
        return;
      }
      log.event(
          JobEvent.CONFIGURATION,
          "version",
          read.version(),
          "previous",
          configuration.version(),
          "previousAgeMillis",
          configurationFollower.ageMillis());
      configuration = read;
      term.ifPresent(t -> t.configure(read));
    }

    @Override
    public void loaded(Set<String> keys) {
      zones.loaded(keys, configurationFollower.next(), configurationFollower.ageMillis());
    }
  }
}
