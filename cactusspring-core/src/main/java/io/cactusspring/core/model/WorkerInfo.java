package io.cactusspring.core.model;

/**
 * A worker as the platform's host list describes it.
 *
 * @param rack workers of one rack fail together
 * @param address {@code host:port} of its agent
 * @param total what the worker has
 * @param leaving whether it is to receive no new work
 * @since 0.1
 */
public record WorkerInfo(
    String name,
    AvailabilityZone zone,
    String rack,
    String address,
    Resources total,
    boolean leaving) {}
