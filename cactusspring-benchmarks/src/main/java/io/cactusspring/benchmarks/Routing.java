package io.cactusspring.benchmarks;

/** How a request is routed to an executor. */
enum Routing {
  LEAST_LOADED,
  /** An executor drawn at random from all; after a refusal, another draw one millisecond later. */
  RANDOM
}
