package io.cactusspring.core.model;

/**
 * An executor as the platform's host list describes it.
 *
 * @param service name of the service whose requests it serves
 * @param address {@code host:port}
 * @param slots requests that it serves at once
 * @param connections connections that it accepts, over all entry hosts
 * @param leaving whether it is to receive no new work
 * @since 0.1
 */
public record EndpointInfo(
    String name,
    AvailabilityZone zone,
    String service,
    String address,
    int slots,
    int connections,
    boolean leaving) {}
