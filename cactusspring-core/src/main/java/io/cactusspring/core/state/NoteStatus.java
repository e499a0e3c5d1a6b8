package io.cactusspring.core.state;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import io.cactusspring.core.config.Resolution;

/**
 * Status of a release note that was read from the log.
 *
 * @since 0.1
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "status")
@JsonSubTypes({
  @JsonSubTypes.Type(value = NoteStatus.Accepted.class, name = "accepted"),
  @JsonSubTypes.Type(value = NoteStatus.Refused.class, name = "refused")
})
public sealed interface NoteStatus {
  /** The note is in force; its revision is the offset of its record. */
  record Accepted(long revision) implements NoteStatus {}

  /** The note was refused and changed nothing. */
  record Refused(long offset, Resolution reason) implements NoteStatus {}
}
