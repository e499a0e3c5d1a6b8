package io.cactusspring.benchmarks.speed;

/**
 * Size of a cell to measure at.
 *
 * @param tasks tasks running, a fifth of them replicas of services
 * @param backlog runs that wait because nothing is free
 */
public record CellSize(int workers, int teams, int tasks, int backlog) {}
