package io.cactusspring.core.membership;

import io.cactusspring.core.model.AvailabilityZone;
import io.cactusspring.core.model.LogRecord;
import io.cactusspring.core.model.ShardId;
import io.cactusspring.core.state.Claim;
import io.cactusspring.core.state.ClusterState;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import java.util.zip.CRC32;

/**
 * Decides which shards of its zone this entry host claims, and whether it may promise peers not to
 * claim theirs.
 *
 * <p>A shard is claimed if it has no owner, or its owner has sent no heartbeat for the takeover
 * time, is draining, or has restarted. Among the live entry hosts of the zone, the one with the
 * highest rendezvous hash claims the shard. Not thread-safe.
 *
 * @since 0.1
 */
public final class ClaimPolicy {
  /**
   * Number of takeover times before a lost shard may be claimed back from a host that sends no
   * heartbeats.
   */
  private static final int RECLAIM_FACTOR = 3;

  private static final long NOT_DATED = Long.MIN_VALUE;

  private final String self;
  private final String incarnation;
  private final AvailabilityZone zone;
  private final MembershipSettings settings;
  private final Map<ShardId, PendingClaim> pendingClaims = new HashMap<>();
  private final Set<ShardId> owned = new HashSet<>();
  private final Map<ShardId, Loss> losses = new HashMap<>();
  private long lastClaimOffset;
  private long relinquishedBefore;

  /** A claim of another host that superseded this host's claim. */
  private record Loss(long epoch, long seenAtMillis) {}

  /** A claim that was sent and has not been read back from the log. */
  private record PendingClaim(long supersedes, long sentAtMillis) {}

  /** Creates the policy of one entry host. */
  public ClaimPolicy(
      String self, String incarnation, AvailabilityZone zone, MembershipSettings settings) {
    this.self = self;
    this.incarnation = incarnation;
    this.zone = zone;
    this.settings = settings;
  }

  /** Returns the claims to append now. */
  public List<LogRecord.ShardClaimed> claims(ClusterState state, PeerTable peers, long nowMillis) {
    return state.configuration().shards().stream()
        .filter(s -> s.zone().equals(zone))
        .filter(s -> shouldClaim(s, state, peers, nowMillis))
        .map(s -> claim(s, state, nowMillis))
        .toList();
  }

  /** Records a claim that was read from the log and found valid. */
  public void recordClaim(ShardId shard, Claim claim) {
    pendingClaims.remove(shard);
    if (shard.zone().equals(zone)) {
      lastClaimOffset = Math.max(lastClaimOffset, claim.epoch());
    }
    if (isOwnClaim(claim)) {
      owned.add(shard);
      losses.remove(shard);
    } else if (owned.remove(shard)) {
      losses.put(shard, new Loss(claim.epoch(), NOT_DATED));
    }
  }

  /**
   * Removes pending claims that can no longer take effect because the epoch that they supersede is
   * no longer current.
   */
  public void removeSupersededClaims(ClusterState state) {
    pendingClaims.entrySet().removeIf(e -> epoch(state, e.getKey()) != e.getValue().supersedes());
  }

  /**
   * Returns whether this host may promise a peer, whose heartbeat has just been received, not to
   * claim that peer's shards until the takeover time has passed. A promise requires that no claim
   * of this process is pending. An earlier process of this host may have claimed the shards; a
   * promise therefore also requires that this process has caught up with the log, which the caller
   * checks, and that the peer has read the last claim in the zone.
   *
   * @param peerNextOffset first offset that the peer has not applied
   */
  public boolean mayPromise(long peerNextOffset) {
    return pendingClaims.isEmpty() && peerNextOffset > lastClaimOffset;
  }

  /** Returns whether a claim was made by this process and has not been relinquished. */
  public boolean isOwnClaim(Claim claim) {
    return isOfThisProcess(claim) && claim.epoch() >= relinquishedBefore;
  }

  /**
   * Relinquishes the claims that precede an offset, because this process has lost the state of the
   * work that it started under them. It claims the shards again, with a new epoch that fences its
   * own delayed calls.
   */
  public void relinquishClaims(long beforeOffset) {
    relinquishedBefore = beforeOffset;
    owned.clear();
  }

  private boolean isOfThisProcess(Claim claim) {
    return claim.owner().equals(self) && claim.incarnation().equals(incarnation);
  }

  private boolean shouldClaim(ShardId shard, ClusterState state, PeerTable peers, long nowMillis) {
    PendingClaim pending = pendingClaims.get(shard);
    if (pending != null && nowMillis - pending.sentAtMillis() < settings.takeoverMillis()) {
      return false;
    }
    Optional<Claim> claim = state.claim(shard);
    boolean claimable = claim.map(c -> isAbandoned(shard, c, peers, nowMillis)).orElse(true);
    boolean relinquished = claim.filter(this::isOfThisProcess).isPresent();
    return claimable && (relinquished || isFirstChoice(shard, peers, nowMillis));
  }

  private boolean isAbandoned(ShardId shard, Claim claim, PeerTable peers, long nowMillis) {
    if (isOwnClaim(claim)) {
      return false;
    }
    if (claim.owner().equals(self)) {
      return true;
    }
    Optional<PeerTable.Peer> owner = peers.peer(claim.owner());
    if (owner.isEmpty()) {
      return true;
    }
    boolean replaced =
        owner.get().incarnation().map(i -> !i.equals(claim.incarnation())).orElse(false);
    boolean silent = !isLive(owner.get(), nowMillis) && !lostRecently(shard, claim, nowMillis);
    return replaced || owner.get().draining() || silent;
  }

  /**
   * Returns whether this host lost the shard to the given claim recently. Without this check, a
   * host that receives no heartbeats would repeatedly claim back shards that its peers have just
   * taken over.
   */
  private boolean lostRecently(ShardId shard, Claim claim, long nowMillis) {
    Loss loss = losses.get(shard);
    if (loss == null || loss.epoch() != claim.epoch()) {
      return false;
    }
    if (loss.seenAtMillis() == NOT_DATED) {
      losses.put(shard, new Loss(loss.epoch(), nowMillis));
      return true;
    }
    return nowMillis - loss.seenAtMillis() <= RECLAIM_FACTOR * settings.takeoverMillis();
  }

  private boolean isLive(PeerTable.Peer peer, long nowMillis) {
    return nowMillis - peer.lastHeartbeatMillis() <= settings.takeoverMillis();
  }

  private boolean isFirstChoice(ShardId shard, PeerTable peers, long nowMillis) {
    Stream<String> live =
        peers.peers().stream()
            .filter(p -> p.zone().equals(zone))
            .filter(p -> isLive(p, nowMillis) && !p.draining())
            .map(PeerTable.Peer::name);
    return Stream.concat(live, Stream.of(self))
        .max(Comparator.comparingLong((String h) -> score(shard, h)).thenComparing(h -> h))
        .filter(self::equals)
        .isPresent();
  }

  private LogRecord.ShardClaimed claim(ShardId shard, ClusterState state, long nowMillis) {
    long supersedes = epoch(state, shard);
    pendingClaims.put(shard, new PendingClaim(supersedes, nowMillis));
    return new LogRecord.ShardClaimed(shard, self, incarnation, supersedes);
  }

  private static long epoch(ClusterState state, ShardId shard) {
    return state.claim(shard).map(Claim::epoch).orElse(0L);
  }

  private static long score(ShardId shard, String host) {
    CRC32 crc = new CRC32();
    crc.update((shard + " " + host).getBytes(StandardCharsets.UTF_8));
    return crc.getValue();
  }
}
