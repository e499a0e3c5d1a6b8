package io.cactusspring.standins.worker;

import io.cactusspring.standins.hosts.Resources;

/** A running task as the agent reports it; the usage lags. */
record RunningTask(String task, Resources resources, long remainingLeaseMillis, Resources usage) {}
