package io.cactusspring.standins.worker;

/** An ended task that its owner has not told the agent to forget. */
record EndedTask(String task, TaskResult result) {}
