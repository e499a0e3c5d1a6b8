package io.cactusspring.jobs.control;

import io.cactusspring.jobs.ledger.OwnerRecord;
import io.cactusspring.jobs.model.HostIdentity;
import io.cactusspring.jobs.schedule.SchedulerSettings;
import java.util.OptionalInt;

/**
 * Decides when a host claims ownership of the executors.
 *
 * <p>A claim is safe at any time, because it is stored only if no other record was stored since the
 * claimer last read the ownership partition, and because the store and the executors refuse an
 * owner with a lower term. The policy only prevents hosts from replacing a healthy owner.
 *
 * @param ownerTimeoutMillis time without a heartbeat of the owner after which it is considered
 *     failed, while the store responds quickly and without errors
 * @param degradedOwnerTimeoutMillis the same timeout for a while after reads of this host failed,
 *     because the writes of the owner may fail as well
 * @param rankDelayMillis delay of each host relative to the host of the preceding rank, so that one
 *     of them claims first
 * @since 0.2
 */
public record ClaimPolicy(
    long ownerTimeoutMillis, long degradedOwnerTimeoutMillis, long rankDelayMillis) {
  /** A heartbeat takes one write, and up to two reads if the first one just missed the record. */
  private static final int RESPONSES_PER_HEARTBEAT = 3;

  /** Rank of an unranked host with one processor; hosts with less processing power claim later. */
  private static final double UNRANKED_RANK = 3;

  private static final int MAX_RANK = 30;
  private static final int RANDOM_BITS = 12;

  /**
   * What a host knows about the owner. Times are milliseconds of one monotonic clock.
   *
   * @param owner the newest record of the ownership partition
   * @param vacantSince since when it is known that the owner gave up its term or its process has
   *     ended; {@link Long#MAX_VALUE} if it may still own the executors
   * @param lastWriteAt when the owner last showed that it can write to the store
   * @param readsSince since when all reads of the ownership partition have succeeded; {@link
   *     Long#MAX_VALUE} while they fail
   * @param degraded whether calls of this host to the store have failed recently
   * @param responseMillis current response time of the store
   */
  public record Observation(
      OwnerRecord owner,
      long vacantSince,
      long lastWriteAt,
      long readsSince,
      boolean degraded,
      long responseMillis) {}

  /**
   * Returns whether to claim ownership now.
   *
   * @param self this process
   * @param delayMillis delay of this host, see {@link #delayMillis}
   */
  public boolean shouldClaim(Observation seen, HostIdentity self, long delayMillis, long now) {
    if (seen.readsSince > now) {
      return false;
    }
    OwnerRecord owner = seen.owner;
    boolean ownEarlierProcess =
        owner.host().equals(self.host()) && !owner.incarnation().equals(self.incarnation());
    if (owner.released() || ownEarlierProcess || seen.vacantSince <= now) {
      long since = seen.vacantSince <= now ? seen.vacantSince : seen.lastWriteAt;
      return now - since >= delayMillis;
    }
    long timeoutMillis = seen.degraded ? degradedOwnerTimeoutMillis : ownerTimeoutMillis;
    long silenceMillis = now - Math.max(seen.lastWriteAt, seen.readsSince);
    return silenceMillis
        >= timeoutMillis + RESPONSES_PER_HEARTBEAT * seen.responseMillis + delayMillis;
  }

  /**
   * Returns the delay of a host's claim, by which the hosts claim one after the other.
   *
   * @param rank position among the successors, as the owner told; without one, hosts with the most
   *     processing power claim first, because the owner has the highest load
   * @param jitter random number of the host, from 0 to 1
   */
  public long delayMillis(HostIdentity self, OptionalInt rank, double jitter, long responseMillis) {
    double processors = Math.max(1, self.milliProcessors()) / 1_000.0;
    double position = rank.isPresent() ? rank.getAsInt() : UNRANKED_RANK / processors + 2 * jitter;
    return Math.round(Math.min(MAX_RANK, position) * (rankDelayMillis + responseMillis));
  }

  /**
   * Returns a term that is higher than any fencing token of the given one and that concurrent
   * claimers are unlikely to choose as well.
   */
  public static long nextTerm(long term, int random) {
    long choices = 1L << RANDOM_BITS;
    long round = term / (choices * SchedulerSettings.TOKENS_PER_TERM) + 1;
    return (round * choices + (random & (choices - 1))) * SchedulerSettings.TOKENS_PER_TERM;
  }
}
