package io.cactusspring.jobs.control;

import io.cactusspring.jobs.ledger.OwnerRecord;
import io.cactusspring.jobs.ledger.PeerRecord;
import java.util.Collection;
import java.util.Optional;

/**
 * Decides when a host claims the executors.
 *
 * <p>A claim is safe at any time, because the store and the executors refuse an owner of a lower
 * term. The policy only keeps hosts from taking over from an owner that is well.
 *
 * @param ownerTimeoutMillis silence in the ledger after which an owner is taken for lost, if the
 *     store answers quickly and without failure
 * @param degradedOwnerTimeoutMillis the same for some time after reads of our own failed, because
 *     the owner's writes may fail as well
 * @param staggerMillis hosts wait up to this long more, each its own time, so that one goes first
 * @since 0.2
 */
public record ClaimPolicy(
    long ownerTimeoutMillis, long degradedOwnerTimeoutMillis, long staggerMillis) {
  /** How long after a failed read the store is not trusted to serve the owner well. */
  private static final long DEGRADED_MILLIS = 5_000;

  /** A beat takes an answered write, and a read that may have just missed it. */
  private static final int RESPONSES_PER_HEARTBEAT = 3;

  /** A claim is read by the others after about three answers; turns have to lie that far apart. */
  private static final int RESPONSES_PER_STAGGER = 10;

  private static final int ROUND_SHIFT = 12;

  /** Machines of one kind differ by less. */
  private static final double SIGNIFICANT_CAPACITY_RATIO = 1.25;

  /**
   * Returns whether to claim now.
   *
   * @param owner the owner as last read
   * @param ownerHost the newest process on the owner's host, if one announced itself
   * @param self this process
   * @param lastOwnerWriteAt when a record of the owner was last read
   * @param uninterruptedReadsSince since when the ledger is read without failure
   * @param responseMillis how long the store takes to answer now
   * @param staggerFactor this host's own share of the stagger, see {@link #staggerFactor}
   */
  public boolean shouldClaim(
      OwnerRecord owner,
      Optional<PeerRecord> ownerHost,
      PeerRecord self,
      long lastOwnerWriteAt,
      long uninterruptedReadsSince,
      long responseMillis,
      double staggerFactor,
      long now) {
    if (uninterruptedReadsSince > now) {
      return false;
    }
    long stagger =
        Math.round((staggerMillis + RESPONSES_PER_STAGGER * responseMillis) * staggerFactor);
    long silenceMillis = now - Math.max(lastOwnerWriteAt, uninterruptedReadsSince);
    boolean sameHost = owner.host().equals(self.host());
    if (sameHost && !owner.incarnation().equals(self.incarnation())) {
      return true;
    }
    if (owner.released() || isOwnerProcessReplaced(owner, ownerHost)) {
      return silenceMillis >= (sameHost ? 0 : stagger);
    }
    boolean degraded = now - uninterruptedReadsSince < DEGRADED_MILLIS;
    long timeoutMillis = degraded ? degradedOwnerTimeoutMillis : ownerTimeoutMillis;
    return silenceMillis >= timeoutMillis + RESPONSES_PER_HEARTBEAT * responseMillis + stagger;
  }

  /** Returns whether the owner's host has announced a newer process. */
  private static boolean isOwnerProcessReplaced(OwnerRecord owner, Optional<PeerRecord> ownerHost) {
    return ownerHost.map(p -> !p.incarnation().equals(owner.incarnation())).orElse(false);
  }

  /**
   * Returns when a host's turn to claim comes, as a multiple of the stagger: hosts with the most
   * processing power go first, because the owner has the most to do.
   *
   * @param jitter the host's own lot, from 0 to 1
   */
  public static double staggerFactor(PeerRecord self, Collection<PeerRecord> hosts, double jitter) {
    boolean strongerExists =
        hosts.stream()
            .anyMatch(
                h -> h.milliProcessors() > SIGNIFICANT_CAPACITY_RATIO * self.milliProcessors());
    return strongerExists ? 1 + jitter : jitter;
  }

  /** Returns a term above another one that no other claimer is likely to choose. */
  public static long nextTerm(long term, int random) {
    long round = (term >> ROUND_SHIFT) + 1;
    return (round << ROUND_SHIFT) | (random & ((1 << ROUND_SHIFT) - 1));
  }
}
