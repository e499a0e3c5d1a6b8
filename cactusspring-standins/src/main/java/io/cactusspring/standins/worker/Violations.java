package io.cactusspring.standins.worker;

/** The violations that an agent let happen and recorded. */
record Violations(int overcommits, int doubleRuns) {}
