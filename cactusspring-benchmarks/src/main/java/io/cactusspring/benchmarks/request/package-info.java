/** Seeded requests and a virtual clock that drive the request code and the baselines beside it. */
package io.cactusspring.benchmarks.request;
