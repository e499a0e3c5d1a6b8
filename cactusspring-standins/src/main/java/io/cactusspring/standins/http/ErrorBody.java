package io.cactusspring.standins.http;

/**
 * Response body of a rejected or failed request.
 *
 * @since 0.1
 */
public record ErrorBody(String error) {}
