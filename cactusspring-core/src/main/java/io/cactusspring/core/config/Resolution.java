package io.cactusspring.core.config;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/**
 * Result of resolving a release note, which takes effect as a whole or not at all.
 *
 * @since 0.1
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "resolution")
@JsonSubTypes({
  @JsonSubTypes.Type(value = Resolution.Conflict.class, name = "conflict"),
  @JsonSubTypes.Type(value = Resolution.Invalid.class, name = "invalid")
})
public sealed interface Resolution {
  /**
   * The note takes effect.
   *
   * @param configuration the configuration that results from the note
   */
  record Accepted(Configuration configuration) implements Resolution {}

  /** Items were changed by other notes since the revisions on which this note is based. */
  record Conflict(List<ItemConflict> conflicts) implements Resolution {
    public Conflict {
      conflicts = List.copyOf(conflicts);
    }
  }

  /** The note would lead to a configuration that violates a rule. */
  record Invalid(List<String> problems) implements Resolution {
    public Invalid {
      problems = List.copyOf(problems);
    }
  }
}
