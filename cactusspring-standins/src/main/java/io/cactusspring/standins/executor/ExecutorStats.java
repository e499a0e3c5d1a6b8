package io.cactusspring.standins.executor;

/** The most that ran and was connected at once, and how many executions began. */
record ExecutorStats(int peakRunning, int peakConnections, int executions) {}
