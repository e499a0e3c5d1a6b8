package io.cactusspring.standins.executor;

/** The answer to a request. */
record ExecutorAnswer(String request, String executor, String echo) {}
