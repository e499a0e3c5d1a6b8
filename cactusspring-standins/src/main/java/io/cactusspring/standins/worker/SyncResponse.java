package io.cactusspring.standins.worker;

import java.util.List;

/** The answer to a sync: what runs, what has ended and what of the renewed does not run. */
record SyncResponse(
    String incarnation, List<RunningTask> running, List<EndedTask> ended, List<String> missing) {}
