package io.cactusspring.jobs.schedule;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Tests when the calls to an executor get a higher fencing token. */
final class CallFenceTest {
  private static final long TERM = 4_096;

  private final CallFence fence = new CallFence(TERM);

  @Test
  void firstTokenIsTheNumberOfTheTerm() {
    assertThat(fence.token()).isEqualTo(TERM);
  }

  @Test
  void callWithoutAnswerRaisesTheToken() {
    fence.unanswered(TERM);
    assertThat(fence.token()).isEqualTo(TERM + 1);
  }

  @Test
  void severalCallsWithOneTokenRaiseItOnce() {
    fence.unanswered(TERM);
    fence.unanswered(TERM);
    assertThat(fence.token()).isEqualTo(TERM + 1);
  }

  @Test
  void earlierCallsAreShutOutByAHigherToken() {
    fence.raise();
    assertThat(fence.token()).isEqualTo(TERM + 1);
  }

  /** Guards against tokens that a later owner uses as well. */
  @Test
  void tokenStaysBelowThatOfTheNextTerm() {
    for (int i = 0; i < 2 * SchedulerSettings.TOKENS_PER_TERM; i++) {
      fence.raise();
    }
    assertThat(fence.token()).isEqualTo(TERM + SchedulerSettings.TOKENS_PER_TERM - 1);
  }
}
