package io.cactusspring.daemon.request;

import io.vertx.core.buffer.Buffer;

/**
 * Complete answer of an executor.
 *
 * @param contentType null if the executor sent none
 */
record ExecutorAnswer(String contentType, Buffer body) {}
