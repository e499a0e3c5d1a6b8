package io.cactusspring.daemon.request;

import io.vertx.core.buffer.Buffer;

/**
 * What one attempt sends.
 *
 * @param number attempts of the request so far, this one included
 * @param remainingMillis time left until the request's deadline
 */
record AttemptSpec(
    String requestId, int number, Buffer body, long timeoutNanos, long remainingMillis) {}
