package io.cactusspring.cli.wire;

/**
 * Response to an accepted release note.
 *
 * @param revision revision with which the note takes effect
 * @since 0.1
 */
public record NoteResponse(String id, boolean accepted, long revision) {}
