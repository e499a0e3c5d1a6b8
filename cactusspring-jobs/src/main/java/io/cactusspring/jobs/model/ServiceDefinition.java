package io.cactusspring.jobs.model;

/**
 * A service whose executors run tasks.
 *
 * @param name the service's name
 * @param enforcesCapacity whether its executors refuse tasks that exceed their free capacity
 * @since 0.2
 */
public record ServiceDefinition(String name, boolean enforcesCapacity) {}
