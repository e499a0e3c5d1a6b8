package io.cactusspring.core.model;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

final class ResourcesTest {
  private static final Resources LARGEST = new Resources(1L << 40, 1L << 40, 1 << 20);

  /** Guards against an amount that ends a scheduling round because it can't be added up. */
  @Test
  void sumsAndProductsAreCappedAtTheLargestAmount() {
    assertThat(LARGEST.plus(LARGEST)).isEqualTo(LARGEST);
    assertThat(LARGEST.times(Integer.MAX_VALUE)).isEqualTo(LARGEST);
    assertThat(new Resources(1_000, 1L << 36, 100).times(24))
        .isEqualTo(new Resources(24_000, 1L << 40, 2_400));
  }

  @Test
  void sumsAndProductsBelowTheLargestAmountAreExact() {
    Resources amount = new Resources(1_500, 4_096, 2);
    assertThat(amount.plus(amount)).isEqualTo(amount.times(2));
    assertThat(amount.times(3)).isEqualTo(new Resources(4_500, 12_288, 6));
    assertThat(amount.times(0)).isEqualTo(Resources.NONE);
    assertThat(LARGEST.times(1)).isEqualTo(LARGEST);
  }

  @Test
  void amountsOutOfRangeAreRejected() {
    assertThrows(IllegalArgumentException.class, () -> new Resources(0, (1L << 40) + 1, 0));
    assertThrows(IllegalArgumentException.class, () -> new Resources(-1, 0, 0));
    assertThrows(IllegalArgumentException.class, () -> Resources.NONE.minus(LARGEST));
  }
}
