package io.cactusspring.processtests;

/** A started execution, as recorded in the history of an executor. */
record Execution(String request, int attempt) {}
