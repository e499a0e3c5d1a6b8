package io.cactusspring.benchmarks.slopes;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;

class SlopeTest {
  private static final double TOLERANCE = 1e-9;

  private static Slope slope(Point... points) {
    return new Slope("s", "role", "size", "cost", List.of(points));
  }

  @Test
  void pointsOnALineAreFittedExactly() {
    Slope slope = slope(new Point(1, 5), new Point(2, 7), new Point(4, 11));
    assertThat(slope.costAtZero()).isWithin(TOLERANCE).of(3);
    assertThat(slope.costPerUnit()).isWithin(TOLERANCE).of(2);
    assertThat(slope.largestResidual()).isWithin(TOLERANCE).of(0);
    assertThat(slope.costAt(10)).isWithin(TOLERANCE).of(23);
  }

  @Test
  void residualReflectsThePointOffTheLine() {
    Slope slope = slope(new Point(0, 1), new Point(1, 2), new Point(2, 1));
    assertThat(slope.largestResidual()).isWithin(TOLERANCE).of(0.5);
  }

  @Test
  void slopeOfTwoPointsIsRejected() {
    assertThrows(IllegalArgumentException.class, () -> slope(new Point(0, 1), new Point(1, 2)));
  }
}
