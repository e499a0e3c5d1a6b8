package io.cactusspring.cli.wire;

/**
 * Response to an accepted submission.
 *
 * @param home shard that places its runs
 * @since 0.1
 */
public record SubmissionResponse(String id, boolean accepted, String home) {}
