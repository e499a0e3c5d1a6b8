package io.cactusspring.standins.worker;

import io.cactusspring.standins.hosts.Resources;

/** A running task as reported by the agent; the usage is reported with a delay. */
record RunningTask(String task, Resources resources, long remainingLeaseMillis, Resources usage) {}
