package io.cactusspring.benchmarks;

/** How requests find their executor. */
enum Routing {
  LEAST_LOADED,
  /** Any executor of the fleet; after a refusal any other, a millisecond later. */
  RANDOM
}
