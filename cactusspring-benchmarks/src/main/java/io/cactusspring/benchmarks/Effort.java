package io.cactusspring.benchmarks;

/**
 * Amount of work that a report measures. Its string form is printed at the head of the report.
 *
 * @param seeds number of arrival lists per row; their results are merged
 * @param arrivals number of arrivals in a virtual cell
 * @param steps number of steps over which the speed of placement is measured
 * @param requests number of requests in a request scenario
 */
record Effort(int seeds, int arrivals, int steps, int requests) {
  static Effort full() {
    return new Effort(5, 40_000, 40_000, 200_000);
  }

  static Effort quick() {
    return new Effort(1, 6_000, 4_000, 20_000);
  }
}
