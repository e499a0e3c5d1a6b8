/** Simulation of request routing with seeded requests under a virtual clock, with baselines. */
package io.cactusspring.benchmarks.request;
