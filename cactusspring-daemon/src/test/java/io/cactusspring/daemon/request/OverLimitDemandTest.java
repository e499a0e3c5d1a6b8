package io.cactusspring.daemon.request;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class OverLimitDemandTest {
  private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final OverLimitDemand demand = new OverLimitDemand();

  @Test
  void refusalsCountOnlyForTheirTeam() {
    demand.recordRefusal("counter", 0);
    demand.recordRefusal("counter", SECOND_NANOS);
    assertThat(demand.units("counter", SECOND_NANOS)).isEqualTo(2);
    assertThat(demand.units("plans", SECOND_NANOS)).isEqualTo(0);
  }

  @Test
  void oldRefusalsExpire() {
    demand.recordRefusal("counter", 0);
    assertThat(demand.units("counter", 10 * SECOND_NANOS)).isEqualTo(0);
  }

  @Test
  void demandIsBoundedForAnyNumberOfRefusals() {
    for (int i = 0; i < 1_000; i++) {
      demand.recordRefusal("counter", i);
    }
    assertThat(demand.units("counter", 1_000)).isEqualTo(OverLimitDemand.MAX_UNITS);
  }
}
