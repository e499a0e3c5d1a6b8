package io.cactusspring.core.state;

import io.cactusspring.core.model.ShardId;
import io.cactusspring.core.model.Submission;

/**
 * View of a submission id in the replayed state.
 *
 * @param submission null if the id was voided before it was submitted, or the work was evicted
 * @param home null if there is no submission
 * @param accepted whether the submission was accepted; otherwise it never runs
 * @param reason why it was not accepted; null if it was
 * @param cancelled whether a cancellation was read
 * @param offset offset of the record that accepted or voided the submission
 * @since 0.1
 */
public record SubmissionView(
    String id,
    Submission submission,
    ShardId home,
    boolean accepted,
    String reason,
    boolean cancelled,
    long offset) {}
