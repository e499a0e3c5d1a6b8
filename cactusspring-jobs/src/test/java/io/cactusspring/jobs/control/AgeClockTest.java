package io.cactusspring.jobs.control;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.jobs.port.Timers;
import org.junit.jupiter.api.Test;

final class AgeClockTest {
  /** Clocks that a test sets. */
  private static final class SetClocks implements Timers {
    private long steady = 1_000;
    private long wall = 50_000;

    @Override
    public long nowMillis() {
      return steady;
    }

    @Override
    public long wallMillis() {
      return wall;
    }

    @Override
    public void after(long millis, Runnable task) {
      throw new UnsupportedOperationException();
    }
  }

  private final SetClocks clocks = new SetClocks();
  private final AgeClock clock = new AgeClock(clocks);
  private final AgeClock.Mark mark = clock.mark();

  private void pass(long steadyMillis, long wallMillis) {
    clocks.steady += steadyMillis;
    clocks.wall += wallMillis;
  }

  @Test
  void ageIsTheTimeThatPassed() {
    pass(700, 700);
    assertThat(clock.millisSince(mark)).isEqualTo(700);
  }

  @Test
  void driftOfTheClocksCountsTheLongerTime() {
    pass(1_000, 1_020);
    assertThat(clock.millisSince(mark)).isEqualTo(1_020);
    pass(1_000, 980);
    assertThat(clock.millisSince(mark)).isEqualTo(2_000);
  }

  @Test
  void ageIsUnknownAfterASuspension() {
    pass(0, 5_000);
    assertThat(clock.millisSince(mark)).isEqualTo(AgeClock.UNKNOWN);
  }

  /** Guards against an age that both clocks understate. */
  @Test
  void ageIsUnknownAfterASuspensionInWhichTheWallClockWasSetBack() {
    pass(0, 5_000 - 3_000);
    assertThat(clock.millisSince(mark)).isEqualTo(AgeClock.UNKNOWN);
    pass(0, 5_000 - 9_000);
    assertThat(clock.millisSince(mark)).isEqualTo(AgeClock.UNKNOWN);
  }

  @Test
  void laterMomentsHaveAnAgeAgain() {
    pass(0, -4_000);
    AgeClock.Mark later = clock.mark();
    pass(300, 300);
    assertThat(clock.millisSince(mark)).isEqualTo(AgeClock.UNKNOWN);
    assertThat(clock.millisSince(later)).isEqualTo(300);
  }
}
