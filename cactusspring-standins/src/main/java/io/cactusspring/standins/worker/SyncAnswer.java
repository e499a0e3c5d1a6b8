package io.cactusspring.standins.worker;

import java.util.List;

/** Response to a sync: running tasks, ended tasks and the renewed ids that are not running. */
record SyncAnswer(
    String incarnation, List<RunningTask> running, List<EndedTask> ended, List<String> missing) {}
