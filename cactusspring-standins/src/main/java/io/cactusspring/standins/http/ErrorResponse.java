package io.cactusspring.standins.http;

/**
 * The body of an answer that refuses a call.
 *
 * @since 0.1
 */
public record ErrorResponse(String error) {}
