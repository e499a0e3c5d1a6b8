package io.cactusspring.daemon.request;

import io.vertx.core.buffer.Buffer;

/**
 * Whole answer of an executor.
 *
 * @param contentType null when the executor set none
 */
record ExecutorAnswer(String contentType, Buffer body) {}
