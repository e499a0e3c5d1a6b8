package io.cactusspring.benchmarks;

/**
 * How much is measured.
 *
 * @param seeds arrival lists for each row, merged
 * @param arrivals arrivals of a virtual cell
 * @param steps steps that the speed of placement is measured over
 * @param requests requests of a scenario
 */
record Effort(int seeds, int arrivals, int steps, int requests) {
  static Effort full() {
    return new Effort(5, 40_000, 40_000, 200_000);
  }

  static Effort quick() {
    return new Effort(1, 6_000, 4_000, 20_000);
  }
}
