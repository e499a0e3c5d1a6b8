package io.cactusspring.standins.executor;

/** An execution that has begun, by request id and attempt. */
record Execution(String request, int attempt) {}
