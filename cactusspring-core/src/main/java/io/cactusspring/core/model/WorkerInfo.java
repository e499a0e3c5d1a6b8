package io.cactusspring.core.model;

/**
 * A worker as listed in the platform's host list.
 *
 * @param rack name of the rack; workers of one rack fail together
 * @param address {@code host:port} of its agent
 * @param total total resources of the worker
 * @param leaving whether it must receive no new work
 * @since 0.1
 */
public record WorkerInfo(
    String name,
    AvailabilityZone zone,
    String rack,
    String address,
    Resources total,
    boolean leaving) {}
