package io.cactusspring.standins.worker;

import io.cactusspring.standins.hosts.Amounts;

/** A running task as the agent reports it; the usage lags. */
record RunningTask(String task, Amounts resources, long remainingLeaseMillis, Amounts usage) {}
