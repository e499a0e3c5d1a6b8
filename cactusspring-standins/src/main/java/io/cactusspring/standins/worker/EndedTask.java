package io.cactusspring.standins.worker;

/** An ended task that the owner has not yet listed in the forget list of a sync. */
record EndedTask(String task, TaskResult result) {}
