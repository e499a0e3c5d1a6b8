package io.cactusspring.benchmarks.cell;

/**
 * Amount of work that arrives.
 *
 * @param load demand for the scarcest resource; 1 equals all capacity that the services leave free
 * @param evenTeams whether all teams demand the same amount; otherwise each in proportion to its
 *     share
 */
public record Demand(double load, int arrivals, boolean evenTeams) {}
