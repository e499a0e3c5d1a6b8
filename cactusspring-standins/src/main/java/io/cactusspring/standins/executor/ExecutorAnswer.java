package io.cactusspring.standins.executor;

/** Response body of an executed request; {@code echo} is the request body. */
record ExecutorAnswer(String request, String executor, String echo) {}
