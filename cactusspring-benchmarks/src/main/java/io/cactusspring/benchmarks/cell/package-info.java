/**
 * Simulation of a cell with seeded arrivals under a virtual clock, for the placement code and for
 * the baselines.
 */
package io.cactusspring.benchmarks.cell;
