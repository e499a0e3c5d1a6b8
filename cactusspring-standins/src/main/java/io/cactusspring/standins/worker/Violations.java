package io.cactusspring.standins.worker;

/** The violations that an agent has recorded without preventing them. */
record Violations(int overcommits, int doubleRuns) {}
