package io.cactusspring.jobs.control;

import io.cactusspring.jobs.ledger.OwnerRecord;
import io.cactusspring.jobs.link.PeerMessage;
import io.cactusspring.jobs.link.PeerMessage.OwnerPhase;
import io.cactusspring.jobs.link.PeerMessage.OwnerStatus;
import io.cactusspring.jobs.log.JobEvent;
import io.cactusspring.jobs.log.JobLog;
import io.cactusspring.jobs.model.HostIdentity;
import io.cactusspring.jobs.port.AdviceService;
import io.cactusspring.jobs.port.PeerLink;
import io.cactusspring.jobs.port.PeerNetwork;
import io.cactusspring.jobs.port.PeerNetwork.NothingListensException;
import io.cactusspring.jobs.port.Timers;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;

/**
 * This host's link to the owner of the executors: carries requests to the owner, and shows whether
 * the owner is alive and can write to the store.
 */
final class OwnerLink {
  private static final long MIN_REDIAL_MILLIS = 30;
  private static final long MAX_REDIAL_MILLIS = 500;

  /** How late a status may be before the link counts as silent. */
  private static final long STATUS_MARGIN_MILLIS = 120;

  /** Statuses that may be missing before a silent link is replaced by a new one. */
  private static final int MISSED_STATUSES_TO_REDIAL = 3;

  /** The owner drops links of hosts that it hears nothing of. */
  private static final long HELLO_INTERVAL_MILLIS = 2_000;

  /** A slow store may delay the owner's writes by this much, without any other problem. */
  private static final long MAX_STORE_AGE_MILLIS = 800;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final PeerNetwork network;
  private final Timers timers;
  private final JobLog log;
  private final HostIdentity self;
  private final AdviceService advice;
  private final Random random;
  private final Runnable onChange;
  private OwnerRecord owner = OwnerRecord.NONE;
  private Optional<Connection> connection = Optional.empty();
  private int generation;
  private long redialMillis = MIN_REDIAL_MILLIS;
  private long vacantSince = Long.MAX_VALUE;
  private long endedAt = Long.MAX_VALUE;
  private OptionalInt successionRank = OptionalInt.empty();
  private Map<String, Double> durationFactors = Map.of();

  /**
   * @param onChange called when requests can be sent to the owner, or not any more
   */
  OwnerLink(
      PeerNetwork network,
      Timers timers,
      JobLog log,
      HostIdentity self,
      AdviceService advice,
      Random random,
      Runnable onChange) {
    this.network = network;
    this.timers = timers;
    this.log = log;
    this.self = self;
    this.advice = advice;
    this.random = random;
    this.onChange = onChange;
  }

  /** Connects to an owner, unless the link leads there already. */
  void follow(OwnerRecord record) {
    boolean sameProcess = record.incarnation().equals(owner.incarnation());
    boolean sameClaim = record.isSameClaim(owner) && record.released() == owner.released();
    owner = record;
    if (!sameProcess) {
      endedAt = Long.MAX_VALUE;
    }
    if (sameClaim) {
      return;
    }
    vacantSince = record.released() ? timers.nowMillis() : Long.MAX_VALUE;
    if (sameProcess && connection.isPresent()) {
      return;
    }
    disconnect();
    if (!record.address().isEmpty() && !record.incarnation().equals(self.incarnation())) {
      redialMillis = MIN_REDIAL_MILLIS;
      dial(generation);
    }
  }

  private void disconnect() {
    generation++;
    Optional<Connection> old = connection;
    connection = Optional.empty();
    old.ifPresent(c -> c.link.close());
  }

  /** Closes the connection and opens no other one until the next owner is followed. */
  void stop() {
    if (!owner.equals(OwnerRecord.NONE)) {
      owner = OwnerRecord.NONE;
      disconnect();
    }
  }

  private void dial(int expectedGeneration) {
    if (expectedGeneration != generation || owner.address().isEmpty()) {
      return;
    }
    network
        .connect(owner.address(), link -> newHandler(link, expectedGeneration))
        .onFailure(
            problem -> {
              if (expectedGeneration == generation) {
                dialFailed(problem);
              }
            });
  }

  private PeerLink.Handler newHandler(PeerLink link, int expectedGeneration) {
    if (expectedGeneration != generation) {
      link.close();
      return new ObsoleteConnection();
    }
    generation++;
    Connection opened = new Connection(link);
    connection = Optional.of(opened);
    return opened;
  }

  private void dialFailed(Throwable problem) {
    if (problem instanceof NothingListensException) {
      // An owner listens before it claims, and until its process ends.
      markEnded("its process has ended");
    }
    redialLater();
  }

  private void redialLater() {
    int expected = generation;
    long delay = random.nextLong(redialMillis / 2, redialMillis + 1);
    redialMillis = Math.min(MAX_REDIAL_MILLIS, redialMillis * 2);
    timers.after(delay, () -> dial(expected));
  }

  private void markEnded(String reason) {
    endedAt = Math.min(endedAt, timers.nowMillis());
    markVacant(reason);
  }

  private void markVacant(String reason) {
    if (vacantSince == Long.MAX_VALUE) {
      vacantSince = timers.nowMillis();
      log.event(
          JobEvent.LINK_CLOSED, "owner", owner.host(), "term", owner.term(), "reason", reason);
      onChange.run();
    }
  }

  /** Checks for a silent link; called periodically. */
  void tick() {
    long now = timers.nowMillis();
    connection.ifPresent(c -> c.tick(now));
  }

  /** Returns whether the owner has shown recently that it is active and can write to the store. */
  boolean isFresh() {
    long now = timers.nowMillis();
    return connection.filter(c -> c.isFresh(now)).isPresent();
  }

  /** Returns the requests to the active owner; empty without a link to it. */
  Optional<PeerCalls> calls() {
    long now = timers.nowMillis();
    return connection.filter(c -> c.isActive(now)).map(c -> c.calls);
  }

  /** Returns when the owner last could write to the store, by its own account. */
  long lastOwnerWriteAt() {
    return connection.map(c -> c.statusAt - c.storeAgeMillis).orElse(NEVER);
  }

  /**
   * Returns since when it is known that the owner's process has ended or gave up its term; {@link
   * Long#MAX_VALUE} if it may still own the executors.
   */
  long vacantSince() {
    return vacantSince;
  }

  /**
   * Returns when nothing listened at the owner's address any more, or another process answered
   * there, so that the owner's had ended; {@link Long#MAX_VALUE} if neither was seen.
   */
  long endedAt() {
    return endedAt;
  }

  /** Returns the position of this host among the successors, as an owner last told. */
  OptionalInt successionRank() {
    return successionRank;
  }

  /** Returns the newest known duration factors of executor labels; empty if none are known. */
  Map<String, Double> durationFactors() {
    return durationFactors;
  }

  /**
   * Remembers duration factors, unless there are none: an owner that has just begun, or that runs
   * an earlier version, knows none.
   */
  void rememberDurationFactors(Map<String, Double> factorByLabel) {
    if (!factorByLabel.isEmpty()) {
      durationFactors = factorByLabel;
    }
  }

  /** Ignores what arrives on a connection to an earlier owner. */
  private static final class ObsoleteConnection implements PeerLink.Handler {
    @Override
    public void received(PeerMessage message) {}

    @Override
    public void closed() {}
  }

  private final class Connection implements PeerLink.Handler {
    private final PeerLink link;
    private final PeerCalls calls;
    private final long openedAt = timers.nowMillis();
    private long helloAt;
    private long statusAt = NEVER;
    private long storeAgeMillis;
    private long intervalMillis;
    private OwnerPhase phase = OwnerPhase.NONE;

    Connection(PeerLink link) {
      this.link = link;
      calls = new PeerCalls(link, timers);
      sendHello();
    }

    private void sendHello() {
      helloAt = timers.nowMillis();
      link.send(new PeerMessage.Hello(self.host(), self.incarnation(), self.milliProcessors()));
    }

    @Override
    public void received(PeerMessage message) {
      if (connection.filter(c -> c == this).isEmpty()) {
        return;
      }
      switch (message) {
        case OwnerStatus status -> applyStatus(status);
        case PeerMessage.Reply reply -> calls.replied(reply);
        case PeerMessage.GetAdvice request -> requestAdvice(request);
        case PeerMessage.Hello m -> refuse(m);
        case PeerMessage.Request m -> refuse(m);
      }
    }

    private void refuse(PeerMessage message) {
      log.event(
          JobEvent.LINK_REFUSED,
          "peer",
          owner.host(),
          "reason",
          "unexpected message " + message.getClass().getSimpleName());
      link.close();
    }

    private void requestAdvice(PeerMessage.GetAdvice request) {
      advice
          .requestAdvice(request.step(), request.executors(), request.timeoutMillis())
          .onComplete(
              tickets -> link.send(new PeerMessage.AdviceReply(request.id(), tickets)),
              problem ->
                  link.send(
                      new PeerMessage.Failure(request.id(), String.valueOf(problem.getMessage()))));
    }

    private void applyStatus(OwnerStatus status) {
      if (!status.incarnation().equals(owner.incarnation())) {
        markEnded("its host runs another process");
        return;
      }
      boolean wasActive = phase == OwnerPhase.ACTIVE;
      statusAt = timers.nowMillis();
      storeAgeMillis = status.storeAgeMillis();
      intervalMillis = status.intervalMillis();
      redialMillis = MIN_REDIAL_MILLIS;
      rememberDurationFactors(status.durationFactors());
      if (status.term() < owner.term()) {
        phase = OwnerPhase.TAKING_OVER;
        return;
      }
      phase = status.phase();
      if (phase == OwnerPhase.NONE) {
        markVacant("it gave up its term");
      } else if (status.successionRank().isPresent()) {
        successionRank = status.successionRank();
      }
      if (phase == OwnerPhase.ACTIVE && !wasActive) {
        log.event(JobEvent.LINK_OPENED, "owner", owner.host(), "term", status.term());
        onChange.run();
      }
    }

    @Override
    public void closed() {
      calls.closed();
      if (connection.filter(c -> c == this).isEmpty()) {
        return;
      }
      connection = Optional.empty();
      generation++;
      log.event(
          JobEvent.LINK_CLOSED,
          "owner",
          owner.host(),
          "term",
          owner.term(),
          "reason",
          "the connection has closed");
      onChange.run();
      // The first attempt shows at once whether the owner's process has ended.
      dial(generation);
    }

    private boolean isActive(long now) {
      return phase == OwnerPhase.ACTIVE && !isSilent(now);
    }

    private boolean isFresh(long now) {
      return isActive(now) && now - statusAt + storeAgeMillis <= MAX_STORE_AGE_MILLIS;
    }

    private boolean isSilent(long now) {
      return now - statusAt > intervalMillis + STATUS_MARGIN_MILLIS;
    }

    void tick(long now) {
      if (now - helloAt >= HELLO_INTERVAL_MILLIS) {
        sendHello();
      }
      long silentMillis = now - Math.max(statusAt, openedAt);
      if (silentMillis > MISSED_STATUSES_TO_REDIAL * intervalMillis + MAX_REDIAL_MILLIS) {
        log.event(
            JobEvent.LINK_CLOSED,
            "owner",
            owner.host(),
            "term",
            owner.term(),
            "reason",
            "no status for " + silentMillis + " ms");
        disconnect();
        calls.closed();
        dial(generation);
      }
    }
  }
}
