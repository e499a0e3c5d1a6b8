package io.cactusspring.benchmarks.cell;

/**
 * How much work arrives.
 *
 * @param load demand for the scarcest resource; 1 is all that the services leave
 * @param evenTeams whether all teams ask for as much, or each in proportion to its share
 */
public record Demand(double load, int arrivals, boolean evenTeams) {}
