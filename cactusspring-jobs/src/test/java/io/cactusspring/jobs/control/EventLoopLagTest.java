package io.cactusspring.jobs.control;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Tests when a host whose event loop lags refuses submissions, and when it is not ready. */
final class EventLoopLagTest {
  private static final long INTERVAL_MILLIS = 50;

  private final EventLoopLag lag = new EventLoopLag();
  private long now = 10_000;

  private void run(long lagMillis, long millis) {
    for (long end = now + millis; now < end; ) {
      now += INTERVAL_MILLIS + lagMillis;
      lag.taskRan(lagMillis, now);
    }
  }

  /** A usual load, under which tasks run a few milliseconds late. */
  @Test
  void hostTakesSubmissionsUnderUsualLoad() {
    run(20, 5_000);
    assertThat(lag.isLagging()).isFalse();
    assertThat(lag.isReady()).isTrue();
  }

  /** A garbage collection of 600 ms must not turn callers away. */
  @Test
  void singlePauseBelowASecondHasNoEffect() {
    run(0, 2_000);
    lag.taskRan(600, now += 650);
    assertThat(lag.isLagging()).isFalse();
  }

  /** The process was stopped for 20 s and continued; its loop works at once. */
  @Test
  void hostTakesSubmissionsSoonAfterAPauseOfTheProcess() {
    run(0, 2_000);
    lag.taskRan(20_000, now += 20_050);
    run(0, 100);
    assertThat(lag.isLagging()).isFalse();
    assertThat(lag.isReady()).isTrue();
  }

  /** The host gets so much work that its loop lags by 700 ms. */
  @Test
  void hostRefusesSubmissionsAtOnceAndIsNotReadyOneSecondLater() {
    run(0, 2_000);
    run(700, 1_500);
    assertThat(lag.isLagging()).isTrue();
    assertThat(lag.isReady()).isTrue();
    run(700, 1_500);
    assertThat(lag.isReady()).isFalse();
  }

  /** A lag between the two bounds must not switch readiness back and forth. */
  @Test
  void hostIsReadyAgainOnlyBelowTheLowerBound() {
    run(700, 4_000);
    run(300, 3_000);
    assertThat(lag.isReady()).isFalse();
    assertThat(lag.isLagging()).isTrue();
    run(100, 1_500);
    assertThat(lag.isReady()).isTrue();
    assertThat(lag.isLagging()).isFalse();
    run(300, 3_000);
    assertThat(lag.isReady()).isTrue();
    assertThat(lag.isLagging()).isFalse();
  }
}
