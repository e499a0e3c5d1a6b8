package io.cactusspring.core.model;

/**
 * An executor as listed in the platform's host list.
 *
 * @param service name of the service whose requests it serves
 * @param address {@code host:port}
 * @param slots number of requests that it serves concurrently
 * @param connections number of connections that it accepts from all entry hosts together
 * @param leaving whether it must receive no new work
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
