package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.model.JobState;

/**
 * A job that has ended, and where its time went.
 *
 * @param organisation the organisation that submitted the job; empty if it came without a key
 * @param state the final state
 * @param millis time from its acceptance to its end, in milliseconds
 * @param objectiveMillis time within which it was to complete, by the durations that were expected
 *     when it ended
 * @param stages the stages of the chain of steps that determined its end
 * @since 0.3
 */
public record EndedJob(
    String id,
    String queue,
    String organisation,
    JobState state,
    long millis,
    long objectiveMillis,
    StageTimes stages) {}
