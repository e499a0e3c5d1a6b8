package io.cactusspring.processtests;

/** An execution in the history of an executor. */
record Execution(String request, int attempt) {}
