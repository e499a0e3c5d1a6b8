package io.cactusspring.standins.executor;

/** An execution that began. */
record Execution(String request, int attempt) {}
