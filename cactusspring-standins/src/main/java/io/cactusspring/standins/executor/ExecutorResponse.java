package io.cactusspring.standins.executor;

/** The answer to a request. */
record ExecutorResponse(String request, String executor, String echo) {}
