package io.cactusspring.standins.executor;

/** Peak concurrent requests, peak open connections and the total number of executions begun. */
record ExecutorStats(int peakRunning, int peakConnections, int executions) {}
