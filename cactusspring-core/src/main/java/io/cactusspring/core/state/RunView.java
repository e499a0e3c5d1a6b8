package io.cactusspring.core.state;

import io.cactusspring.core.model.Outcome;
import io.cactusspring.core.model.RunId;
import io.cactusspring.core.model.ShardId;
import io.cactusspring.core.model.TaskSpec;

/**
 * View of one run in the replayed state.
 *
 * @param home shard whose owner is the only one that may start the run
 * @param attempt number of the last attempt recorded as started; 0 for none
 * @param worker worker on which that attempt was to start; null if there is none
 * @param outcome null until the run has ended
 * @param cancelled whether the run is cancelled or is a surplus replica
 * @param gangSize number of tasks that start together; 1 for a run of a batch or a replica
 * @param service whether the run is a replica of a service
 * @since 0.1
 */
public record RunView(
    RunId run,
    String team,
    TaskSpec spec,
    ShardId home,
    RunState state,
    int attempt,
    String worker,
    Outcome outcome,
    boolean cancelled,
    int gangSize,
    boolean service) {}
