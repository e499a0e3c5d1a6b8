package io.cactusspring.jobs.control;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.jobs.control.ClaimPolicy.Observation;
import io.cactusspring.jobs.ledger.OwnerRecord;
import io.cactusspring.jobs.model.HostIdentity;
import io.cactusspring.jobs.schedule.SchedulerSettings;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

final class ClaimPolicyTest {
  private static final ClaimPolicy POLICY = new ClaimPolicy(500, 1_500, 40);
  private static final HostIdentity SELF = new HostIdentity("a", "a#1", "a:70", 750);
  private static final OwnerRecord OWNER = new OwnerRecord(5, "b", "b#1", "b:70", 9, false);
  private static final OwnerRecord RELEASED = OWNER.release();
  private static final long READING_SINCE = 0;
  private static final long NOT_VACANT = Long.MAX_VALUE;

  private static boolean claims(
      OwnerRecord owner, long vacantSince, long lastWriteAt, long readsSince, long now) {
    return POLICY.shouldClaim(
        new Observation(owner, vacantSince, lastWriteAt, readsSince, false, 0), SELF, 0, now);
  }

  private static boolean claimsWhileDegraded(long lastWriteAt, long now) {
    return POLICY.shouldClaim(
        new Observation(OWNER, NOT_VACANT, lastWriteAt, READING_SINCE, true, 0), SELF, 0, now);
  }

  private static boolean claimsWithResponseTime(long lastWriteAt, long responseMillis, long now) {
    return POLICY.shouldClaim(
        new Observation(OWNER, NOT_VACANT, lastWriteAt, READING_SINCE, false, responseMillis),
        SELF,
        0,
        now);
  }

  @Test
  void ownerThatWritesIsNotReplaced() {
    assertThat(claims(OWNER, NOT_VACANT, 9_600, READING_SINCE, 10_000)).isFalse();
  }

  @Test
  void silentOwnerIsReplaced() {
    assertThat(claims(OWNER, NOT_VACANT, 8_000, READING_SINCE, 10_000)).isTrue();
  }

  @Test
  void silenceCountsOnlyWhileReadsSucceed() {
    assertThat(claims(OWNER, NOT_VACANT, 1_000, 9_600, 10_000)).isFalse();
    assertThat(claims(OWNER, NOT_VACANT, 1_000, Long.MAX_VALUE, 10_000)).isFalse();
  }

  /** The owner's machine loses power while the store is healthy. */
  @Test
  void ownerIsReplacedAfterHalfASecondOfReadsWithoutAHeartbeat() {
    assertThat(claims(OWNER, NOT_VACANT, 1_000, 9_500, 10_000)).isTrue();
  }

  /** The store is slower than usual, which delays the heartbeats of the owner as well. */
  @Test
  void ownerTimeoutGrowsWithTheResponseTimeOfTheStore() {
    assertThat(claimsWithResponseTime(9_200, 240, 10_000)).isFalse();
    assertThat(claimsWithResponseTime(8_500, 240, 10_000)).isTrue();
  }

  /** Responses of the store are lost, including those to the owner. */
  @Test
  void ownerTimeoutIsLongerWhileCallsToTheStoreFail() {
    assertThat(claimsWhileDegraded(9_000, 10_000)).isFalse();
    assertThat(claimsWhileDegraded(8_400, 10_000)).isTrue();
  }

  @Test
  void releasedTermIsClaimedAtOnce() {
    assertThat(claims(RELEASED, 10_000, 10_000, READING_SINCE, 10_000)).isTrue();
  }

  /** The owner is killed: its address refuses connections. */
  @Test
  void ownerWhoseProcessHasEndedIsReplacedAtOnce() {
    assertThat(claims(OWNER, 10_000, 9_990, READING_SINCE, 10_000)).isTrue();
  }

  @Test
  void vacantOwnershipIsNotClaimedWhileTheStoreCannotBeRead() {
    assertThat(claims(RELEASED, 10_000, 10_000, Long.MAX_VALUE, 10_000)).isFalse();
  }

  /** All processes are killed and restarted. */
  @Test
  void restartedProcessOfTheOwnersHostClaimsAtOnce() {
    OwnerRecord before = new OwnerRecord(5, "a", "a#0", "a:70", 3, false);
    assertThat(claims(before, NOT_VACANT, 10_000, 10_000, 10_000)).isTrue();
  }

  @Test
  void hostsClaimInTheOrderOfTheirRanks() {
    long first = POLICY.delayMillis(SELF, OptionalInt.of(0), 0.9, 8);
    long second = POLICY.delayMillis(SELF, OptionalInt.of(1), 0.1, 8);
    assertThat(first).isEqualTo(0);
    assertThat(second).isEqualTo(48);
    assertThat(claimsVacant(20, second)).isFalse();
    assertThat(claimsVacant(48, second)).isTrue();
  }

  private static boolean claimsVacant(long vacantMillis, long delayMillis) {
    Observation seen = new Observation(RELEASED, 1_000, 1_000, READING_SINCE, false, 8);
    return POLICY.shouldClaim(seen, SELF, delayMillis, 1_000 + vacantMillis);
  }

  /** All hosts start at the same time, and most have a quarter of the power of the others. */
  @Test
  void unrankedHostsWithMoreProcessingPowerClaimFirst() {
    HostIdentity strong = new HostIdentity("s", "s#1", "s:70", 1_500);
    HostIdentity weak = new HostIdentity("w", "w#1", "w:70", 360);
    assertThat(POLICY.delayMillis(strong, OptionalInt.empty(), 0.9, 5))
        .isLessThan(POLICY.delayMillis(weak, OptionalInt.empty(), 0.1, 5));
  }

  /** The claims of hosts lie apart while the store is slow (Tema trouble-2). */
  @Test
  void claimDelaysGrowWithTheResponseTimeOfTheStore() {
    assertThat(POLICY.delayMillis(SELF, OptionalInt.of(2), 0, 240)).isEqualTo(560);
  }

  @Test
  void nextTermIsHigherThanAnyTermOfTheRoundBefore() {
    long highest = ClaimPolicy.nextTerm(0, 0xfff);
    assertThat(ClaimPolicy.nextTerm(highest, 0)).isGreaterThan(highest);
  }

  /**
   * Guards against executors that refuse the calls of the next owner, or take those of the last.
   */
  @Test
  void nextTermIsHigherThanAnyFencingTokenOfTheTermBefore() {
    for (int random : new int[] {0, 1, 0x7ff, 0xfff, -1}) {
      long term = ClaimPolicy.nextTerm(4_096, random);
      long lastToken = term + SchedulerSettings.TOKENS_PER_TERM - 1;
      assertThat(ClaimPolicy.nextTerm(term, 0)).isGreaterThan(lastToken);
      assertThat(nextTermOfEarlierVersions(term)).isGreaterThan(lastToken);
    }
  }

  private static long nextTermOfEarlierVersions(long term) {
    return ((term >> 12) + 1) << 12;
  }
}
