package io.cactusspring.jobs.control;

import io.cactusspring.jobs.ledger.OwnerRecord;
import io.cactusspring.jobs.ledger.PeerRecord;
import java.util.Collection;
import java.util.Optional;

/**
 * Decides when a host claims ownership of the executors.
 *
 * <p>A claim is safe at any time, because the store and the executors refuse an owner with a lower
 * term. The policy only prevents hosts from replacing a healthy owner.
 *
 * @param ownerTimeoutMillis time without a record of the owner in the ledger after which the owner
 *     is considered failed, while the store responds quickly and without errors
 * @param degradedOwnerTimeoutMillis the same timeout for a while after reads of this host failed,
 *     because the writes of the owner may fail as well
 * @param staggerMillis delay that is added to the timeout, multiplied by a factor that differs
 *     between hosts so that one of them claims first
 * @since 0.2
 */
public record ClaimPolicy(
    long ownerTimeoutMillis, long degradedOwnerTimeoutMillis, long staggerMillis) {
  /** Time after a failed read during which writes of the owner may still fail as well. */
  private static final long DEGRADED_MILLIS = 5_000;

  /** A heartbeat takes one write, and up to two reads if the first one just missed the record. */
  private static final int RESPONSES_PER_HEARTBEAT = 3;

  /**
   * Other hosts read a claim after about three response times of the store, so that the delays of
   * the hosts have to differ by at least as much.
   */
  private static final int RESPONSES_PER_STAGGER = 10;

  private static final int ROUND_SHIFT = 12;

  /** Machines of the same type differ in processing power by less than this ratio. */
  private static final double SIGNIFICANT_CAPACITY_RATIO = 1.25;

  /**
   * Returns whether to claim ownership now. Times are milliseconds of one monotonic clock.
   *
   * @param owner the owner as last read
   * @param ownerHost the newest process that was announced for the owner's host, if any
   * @param self this process
   * @param lastOwnerWriteAt when a record of the owner was last read
   * @param uninterruptedReadsSince since when all reads of the ledger have succeeded
   * @param responseMillis current response time of the store
   * @param staggerFactor multiple of the stagger that this host waits, see {@link #staggerFactor}
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
   * Returns the delay of a host's claim as a multiple of the stagger. Hosts with the most
   * processing power claim first, because the owner has the highest load.
   *
   * @param jitter random number of the host, from 0 to 1
   */
  public static double staggerFactor(PeerRecord self, Collection<PeerRecord> hosts, double jitter) {
    boolean strongerExists =
        hosts.stream()
            .anyMatch(
                h -> h.milliProcessors() > SIGNIFICANT_CAPACITY_RATIO * self.milliProcessors());
    return strongerExists ? 1 + jitter : jitter;
  }

  /**
   * Returns a term that is higher than the given one and that concurrent claimers are unlikely to
   * choose as well.
   */
  public static long nextTerm(long term, int random) {
    long round = (term >> ROUND_SHIFT) + 1;
    return (round << ROUND_SHIFT) | (random & ((1 << ROUND_SHIFT) - 1));
  }
}
