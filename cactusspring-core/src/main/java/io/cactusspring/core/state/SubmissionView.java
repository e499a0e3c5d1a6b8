package io.cactusspring.core.state;

import io.cactusspring.core.model.ShardId;
import io.cactusspring.core.model.Submission;

/**
 * What the log says of a submission id.
 *
 * @param submission null if the id was voided before it was submitted, or the work is forgotten
 * @param home null if there is no submission
 * @param accepted whether the work is taken; a submission that is not never runs
 * @param reason why it is not accepted; null if it is
 * @param cancelled whether a cancellation was read
 * @param offset offset of the record that decided
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
