/**
 * Seeded arrivals and a virtual clock that drive the placement code and the baselines beside it.
 */
package io.cactusspring.benchmarks.cell;
