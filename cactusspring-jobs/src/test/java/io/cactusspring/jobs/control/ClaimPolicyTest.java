package io.cactusspring.jobs.control;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.jobs.ledger.OwnerRecord;
import io.cactusspring.jobs.ledger.PeerRecord;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class ClaimPolicyTest {
  private static final ClaimPolicy POLICY = new ClaimPolicy(750, 1_500, 200);
  private static final PeerRecord SELF = new PeerRecord("a", "a#1", "a:70", 750);
  private static final OwnerRecord OWNER = new OwnerRecord(5, "b", "b#1", false);
  private static final PeerRecord SAME_PROCESS = new PeerRecord("b", "b#1", "b:70", 750);
  private static final long READING_SINCE = 0;

  private static boolean claims(
      OwnerRecord owner,
      PeerRecord ownerHost,
      long lastOwnerWriteAt,
      long uninterruptedReadsSince,
      long now) {
    return claims(owner, ownerHost, lastOwnerWriteAt, uninterruptedReadsSince, 0, now);
  }

  private static boolean claims(
      OwnerRecord owner,
      PeerRecord ownerHost,
      long lastOwnerWriteAt,
      long uninterruptedReadsSince,
      long responseMillis,
      long now) {
    return POLICY.shouldClaim(
        owner,
        Optional.of(ownerHost),
        SELF,
        lastOwnerWriteAt,
        uninterruptedReadsSince,
        responseMillis,
        0,
        now);
  }

  @Test
  void ownerThatWritesIsNotReplaced() {
    assertThat(claims(OWNER, SAME_PROCESS, 9_500, READING_SINCE, 10_000)).isFalse();
  }

  @Test
  void silentOwnerIsReplaced() {
    assertThat(claims(OWNER, SAME_PROCESS, 8_000, READING_SINCE, 10_000)).isTrue();
  }

  @Test
  void silenceCountsOnlyWhileReadsSucceed() {
    assertThat(claims(OWNER, SAME_PROCESS, 1_000, 9_000, 10_000)).isFalse();
    assertThat(claims(OWNER, SAME_PROCESS, 1_000, Long.MAX_VALUE, 10_000)).isFalse();
  }

  /** The owner is killed while the store is healthy. */
  @Test
  void ownerIsReplacedAfter750MillisWhileTheStoreIsHealthy() {
    assertThat(claims(OWNER, SAME_PROCESS, 9_200, READING_SINCE, 10_000)).isTrue();
  }

  /**
   * The owner releases its term while the store is sixty times slower than usual (Tema trouble-2).
   * The other hosts then read a claim late, and must not all claim before they have read it.
   */
  @Test
  void claimDelaysGrowWithTheResponseTimeOfTheStore() {
    OwnerRecord released = new OwnerRecord(5, "b", "b#1", true);
    assertThat(claimsWithStagger(released, 0.5, 8, 9_800)).isTrue();
    assertThat(claimsWithStagger(released, 0.5, 240, 9_000)).isFalse();
    assertThat(claimsWithStagger(released, 0.1, 240, 9_000)).isTrue();
  }

  private static boolean claimsWithStagger(
      OwnerRecord owner, double staggerFactor, long responseMillis, long lastOwnerWriteAt) {
    return POLICY.shouldClaim(
        owner,
        Optional.of(SAME_PROCESS),
        SELF,
        lastOwnerWriteAt,
        READING_SINCE,
        responseMillis,
        staggerFactor,
        10_000);
  }

  /**
   * The store is sixty times slower than usual, which delays the heartbeats of the owner as well.
   */
  @Test
  void ownerTimeoutGrowsWithTheResponseTimeOfTheStore() {
    assertThat(claims(OWNER, SAME_PROCESS, 9_200, READING_SINCE, 240, 10_000)).isFalse();
    assertThat(claims(OWNER, SAME_PROCESS, 8_500, READING_SINCE, 240, 10_000)).isTrue();
  }

  /** Responses of the store are lost, including those to the owner. */
  @Test
  void ownerTimeoutIsLongerAfterARecentReadFailure() {
    assertThat(claims(OWNER, SAME_PROCESS, 9_000, 8_000, 10_000)).isFalse();
    assertThat(claims(OWNER, SAME_PROCESS, 8_400, 8_000, 10_000)).isTrue();
  }

  @Test
  void releasedTermIsClaimedAtOnce() {
    OwnerRecord released = new OwnerRecord(5, "b", "b#1", true);
    assertThat(claims(released, SAME_PROCESS, 10_000, READING_SINCE, 10_000)).isTrue();
  }

  @Test
  void ownerWhoseHostRunsANewerProcessIsReplacedAtOnce() {
    PeerRecord newer = new PeerRecord("b", "b#2", "b:70", 750);
    assertThat(claims(OWNER, newer, 10_000, READING_SINCE, 10_000)).isTrue();
  }

  /**
   * All processes are killed and restarted. No process has announced yet that it replaces the
   * owner's.
   */
  @Test
  void restartedProcessOfTheOwnersHostClaimsAtOnce() {
    OwnerRecord before = new OwnerRecord(5, "a", "a#0", false);
    PeerRecord stale = new PeerRecord("a", "a#0", "a:70", 750);
    assertThat(claims(before, stale, 10_000, 10_000, 10_000)).isTrue();
  }

  /** Most hosts have a quarter of the processing power of the others. */
  @Test
  void hostsWithMoreProcessingPowerClaimFirst() {
    PeerRecord strong = new PeerRecord("s", "s#1", "s:70", 1_500);
    List<PeerRecord> hosts = List.of(SELF, strong, SAME_PROCESS);
    assertThat(ClaimPolicy.staggerFactor(strong, hosts, 0.9))
        .isLessThan(ClaimPolicy.staggerFactor(SELF, hosts, 0.1));
    assertThat(ClaimPolicy.staggerFactor(SELF, List.of(SELF, SAME_PROCESS), 0.1)).isEqualTo(0.1);
  }

  @Test
  void nextTermIsHigherThanAnyTermOfTheRoundBefore() {
    long highest = ClaimPolicy.nextTerm(0, 0xfff);
    assertThat(ClaimPolicy.nextTerm(highest, 0)).isGreaterThan(highest);
  }
}
