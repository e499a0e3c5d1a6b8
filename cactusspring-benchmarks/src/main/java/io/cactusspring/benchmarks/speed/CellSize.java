package io.cactusspring.benchmarks.speed;

/**
 * Size of a measured cell.
 *
 * @param tasks number of running tasks, a fifth of them service replicas
 * @param backlog number of runs that wait because no worker has free capacity
 */
public record CellSize(int workers, int teams, int tasks, int backlog) {}
