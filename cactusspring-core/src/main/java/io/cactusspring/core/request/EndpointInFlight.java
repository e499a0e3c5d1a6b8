package io.cactusspring.core.request;

/**
 * Load of this entry host on an endpoint, sent to other entry hosts as a hint.
 *
 * @param endpoint name of the endpoint
 * @param inFlight number of requests that were sent to the endpoint and have not ended
 * @since 0.1
 */
public record EndpointInFlight(String endpoint, int inFlight) {}
