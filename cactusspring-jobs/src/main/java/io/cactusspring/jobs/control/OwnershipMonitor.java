package io.cactusspring.jobs.control;

import io.cactusspring.jobs.ledger.LedgerCodec;
import io.cactusspring.jobs.ledger.OwnerRecord;
import io.cactusspring.jobs.ledger.OwnershipView;
import io.cactusspring.jobs.log.JobEvent;
import io.cactusspring.jobs.log.JobLog;
import io.cactusspring.jobs.model.HostIdentity;
import io.cactusspring.jobs.port.KeyedTopic;
import io.cactusspring.jobs.port.KeyedTopic.Entry;
import io.cactusspring.jobs.port.StoreException;
import io.cactusspring.jobs.port.Timers;
import io.cactusspring.jobs.schedule.InheritedLeases;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * Finds out who owns the executors, and claims ownership when nobody does.
 *
 * <p>While the link to the owner shows that it is well, nothing is read. Otherwise the ownership
 * partition of the store is followed, which shows the heartbeats of an owner that this host cannot
 * reach.
 */
final class OwnershipMonitor {
  private static final long READ_WAIT_MILLIS = 1_000;
  // Each read costs a call to the store; an owner writes a heartbeat every 200 ms.
  private static final long READ_PAUSE_MILLIS = 50;
  private static final long CLAIM_RETRY_MILLIS = 100;

  /** Time after a failed call during which calls of the owner may still fail as well. */
  private static final long DEGRADED_MILLIS = 5_000;

  /** What the monitor needs of its host. */
  interface Host {
    /** Returns whether this host may claim ownership now. */
    boolean mayClaim();

    /** Returns whether this host owns the executors or is taking over. */
    boolean isOwner();

    /**
     * Called when this host's claim is stored.
     *
     * @param end offset that follows the claim in the ownership partition
     * @param sentAt when the claim was first sent
     * @param predecessor the owner before; {@link OwnerRecord#NONE} if it is not known
     * @param earlierLeases when the leases of earlier owners have lapsed
     */
    void claimed(
        OwnerRecord claim,
        long end,
        long sentAt,
        OwnerRecord predecessor,
        InheritedLeases earlierLeases);

    /** Called when the ownership partition names another claim than before. */
    void ownerChanged(OwnerRecord owner);
  }

  /** A claim that was sent and may have been stored. */
  private static final class Claim {
    private final OwnerRecord record;
    private final long end;
    private final long sentAt;
    private final OwnerRecord predecessor;
    private final InheritedLeases earlierLeases;
    private boolean maybeStored;

    Claim(
        OwnerRecord record,
        long end,
        long sentAt,
        OwnerRecord predecessor,
        InheritedLeases earlierLeases) {
      this.record = record;
      this.end = end;
      this.sentAt = sentAt;
      this.predecessor = predecessor;
      this.earlierLeases = earlierLeases;
    }
  }

  private final KeyedTopic topic;
  private final OwnerLink link;
  private final TopicFollower configurationFollower;
  private final ClaimPolicy policy;
  private final HostIdentity self;
  private final Timers timers;
  private final JobLog log;
  private final Random random;
  private final Host host;
  private final OwnershipView view = new OwnershipView();
  private final EarlierLeases earlierLeases;
  private final TopicFollower follower;
  private final double jitter;
  private boolean watching;
  private long lastReadWriteAt = Long.MIN_VALUE / 2;
  private Optional<Claim> pendingClaim = Optional.empty();
  private Optional<Claim> lastClaim = Optional.empty();
  private boolean confirming;
  private long endedTerm;

  OwnershipMonitor(
      KeyedTopic topic,
      OwnerLink link,
      TopicFollower configurationFollower,
      ClaimPolicy policy,
      HostIdentity self,
      EarlierLeases earlierLeases,
      Timers timers,
      JobLog log,
      Random random,
      Host host) {
    this.topic = topic;
    this.link = link;
    this.configurationFollower = configurationFollower;
    this.policy = policy;
    this.self = self;
    this.earlierLeases = earlierLeases;
    this.timers = timers;
    this.log = log;
    this.random = random;
    this.host = host;
    jitter = random.nextDouble();
    follower =
        new TopicFollower(
            "ownership", topic, new Sink(), timers, log, READ_WAIT_MILLIS, () -> READ_PAUSE_MILLIS);
  }

  /** Returns the newest known record of an owner. */
  OwnerRecord owner() {
    return view.owner();
  }

  /** Records that a term of this host has ended, so that its claim does not count any more. */
  void termEnded(long term) {
    endedTerm = Math.max(endedTerm, term);
    check();
  }

  /** Records that this process was paused: an owner may have written without being noticed. */
  void paused() {
    follower.restartUninterruptedReads();
  }

  /** Starts or stops reading the ownership partition, and claims ownership if that is due. */
  void check() {
    link.tick();
    boolean known = host.isOwner() || link.isFresh();
    if (known && watching && pendingClaim.isEmpty()) {
      watching = false;
      follower.stop();
    } else if (!known && !watching) {
      watching = true;
      follower.start();
    }
    if (watching && follower.isOverdue()) {
      follower.restartUninterruptedReads();
    }
    claimIfDue();
  }

  private void claimIfDue() {
    if (!watching || confirming || pendingClaim.isPresent() || !follower.isLoaded()) {
      return;
    }
    if (!host.mayClaim() || host.isOwner() || !isClaimDue(0)) {
      return;
    }
    confirming = true;
    long sentAt = timers.nowMillis();
    // The owner may have written since the last read, which waits between reads.
    follower
        .refresh()
        .onComplete(
            read -> {
              confirming = false;
              claimIfStillDue(timers.nowMillis() - sentAt);
            },
            problem -> confirming = false);
  }

  private boolean isClaimDue(long responseMillis) {
    long now = timers.nowMillis();
    OwnerRecord owner = view.owner();
    boolean ownEndedTerm =
        owner.incarnation().equals(self.incarnation()) && owner.term() <= endedTerm;
    long vacantSince = ownEndedTerm ? lastReadWriteAt : link.vacantSince();
    boolean degraded = now - configurationFollower.uninterruptedReadsSince() < DEGRADED_MILLIS;
    ClaimPolicy.Observation seen =
        new ClaimPolicy.Observation(
            owner,
            vacantSince,
            Math.max(lastReadWriteAt, link.lastOwnerWriteAt()),
            follower.uninterruptedReadsSince(),
            degraded,
            responseMillis);
    long delay = policy.delayMillis(self, link.successionRank(), jitter, responseMillis);
    return policy.shouldClaim(seen, self, delay, now);
  }

  private void claimIfStillDue(long responseMillis) {
    if (!host.mayClaim() || host.isOwner() || !watching || !isClaimDue(responseMillis)) {
      return;
    }
    long term = ClaimPolicy.nextTerm(view.owner().term(), random.nextInt());
    long now = timers.nowMillis();
    InheritedLeases inherited = earlierLeases.inherited(link.endedAt(), now);
    OwnerRecord record =
        new OwnerRecord(term, self.host(), self.incarnation(), self.address(), 0, false)
            .withLeases(inherited.bounds(now));
    Claim claim = new Claim(record, follower.next(), now, view.owner(), inherited);
    pendingClaim = Optional.of(claim);
    lastClaim = pendingClaim;
    send(claim);
  }

  private void send(Claim claim) {
    topic
        .appendAt(claim.end, List.of(LedgerCodec.owner(claim.record)))
        .onComplete(
            stored -> {
              if (isPending(claim)) {
                Entry entry = LedgerCodec.owner(claim.record);
                apply(new Entry(entry.key(), entry.value(), claim.end));
              }
            },
            problem -> claimFailed(claim, problem));
  }

  private boolean isPending(Claim claim) {
    return pendingClaim.filter(c -> c == claim).isPresent();
  }

  private void claimFailed(Claim claim, Throwable problem) {
    if (!isPending(claim)) {
      return;
    }
    switch (StoreException.kindOf(problem)) {
      case UNKNOWN -> claim.maybeStored = true;
      // An earlier copy of the claim, or another record, is stored: the next read shows which.
      case CONFLICT -> pendingClaim = Optional.empty();
      case REFUSED, SUPERSEDED, TRIMMED -> {
        if (!claim.maybeStored) {
          pendingClaim = Optional.empty();
        }
      }
    }
    if (pendingClaim.isEmpty()) {
      follower.refresh().onFailure(reason -> logUnread(reason));
    } else if (!host.mayClaim() || view.owner().term() > claim.record.term()) {
      pendingClaim = Optional.empty();
    } else {
      timers.after(
          CLAIM_RETRY_MILLIS,
          () -> {
            if (isPending(claim)) {
              send(claim);
            }
          });
    }
  }

  private void logUnread(Throwable reason) {
    log.event(
        JobEvent.STORE_LOST,
        "topic",
        "ownership",
        "next",
        follower.next(),
        "reason",
        String.valueOf(reason));
  }

  private void apply(Entry entry) {
    OwnerRecord before = view.owner();
    if (!view.apply(entry)) {
      return;
    }
    lastReadWriteAt = timers.nowMillis();
    OwnerRecord owner = view.owner();
    earlierLeases.read(owner, lastReadWriteAt);
    if (owner.isSameClaim(before) && owner.released() == before.released()) {
      return;
    }
    log.event(
        JobEvent.OWNER_CHANGED,
        "term",
        owner.term(),
        "owner",
        owner.host(),
        "released",
        owner.released());
    host.ownerChanged(owner);
    link.follow(owner);
    boolean own = owner.incarnation().equals(self.incarnation()) && !owner.released();
    if (own && owner.term() > endedTerm && !host.isOwner()) {
      pendingClaim = Optional.empty();
      Claim claim =
          lastClaim.filter(c -> c.record.isSameClaim(owner)).orElseGet(() -> forgottenClaim(owner));
      host.claimed(owner, entry.offset() + 1, claim.sentAt, claim.predecessor, claim.earlierLeases);
    }
  }

  /** Returns a claim that is stored although another one was sent since. */
  private Claim forgottenClaim(OwnerRecord record) {
    InheritedLeases inherited = earlierLeases.inherited(Long.MAX_VALUE, timers.nowMillis());
    return new Claim(record, 0, Long.MIN_VALUE / 2, OwnerRecord.NONE, inherited);
  }

  private final class Sink implements TopicSink {
    @Override
    public void apply(Entry entry) {
      OwnershipMonitor.this.apply(entry);
    }

    @Override
    public void loaded(Set<String> keys) {
      // How old the newest record is, is not known.
      lastReadWriteAt = timers.nowMillis();
    }

    @Override
    public void caughtUp() {
      claimIfDue();
    }
  }
}
