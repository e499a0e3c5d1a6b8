package io.cactusspring.daemon.request;

import io.vertx.core.buffer.Buffer;

/**
 * Parameters of one attempt.
 *
 * @param number number of this attempt; the first attempt of a request is 1
 * @param timeoutNanos time after which the attempt ends without an answer
 * @param remainingMillis time left until the deadline of the request
 */
record AttemptSpec(
    String requestId, int number, Buffer body, long timeoutNanos, long remainingMillis) {}
