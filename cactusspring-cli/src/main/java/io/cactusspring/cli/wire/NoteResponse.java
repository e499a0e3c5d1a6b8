package io.cactusspring.cli.wire;

/**
 * Answer to a release note that was taken.
 *
 * @param revision revision with which it is in force
 * @since 0.1
 */
public record NoteResponse(String id, boolean accepted, long revision) {}
