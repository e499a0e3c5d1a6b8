package io.cactusspring.benchmarks.request;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class RequestCellTest {
  @Test
  void everyRequestIsAnsweredWhileNothingFails() {
    RequestResult result = RequestCell.run(Scenario.uneven(), RequestPolicy.CACTUSSPRING, 2_000, 5);
    assertThat(result.answered()).isEqualTo(1);
    assertThat(result.attempts()).isEqualTo(1);
  }
}
