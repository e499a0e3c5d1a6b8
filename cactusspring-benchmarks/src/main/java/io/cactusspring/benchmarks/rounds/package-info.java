/** Plots of measured rounds, read from the journal of the user benchmark. */
package io.cactusspring.benchmarks.rounds;
