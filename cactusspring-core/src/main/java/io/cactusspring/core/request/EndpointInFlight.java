package io.cactusspring.core.request;

/**
 * Load that this entry host puts on an endpoint; a hint for other entry hosts.
 *
 * @param inFlight requests sent and not ended
 * @since 0.1
 */
public record EndpointInFlight(String endpoint, int inFlight) {}
