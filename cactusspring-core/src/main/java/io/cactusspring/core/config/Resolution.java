package io.cactusspring.core.config;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/**
 * What becomes of a release note: it takes effect whole or not at all.
 *
 * @since 0.1
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "resolution")
@JsonSubTypes({
  @JsonSubTypes.Type(value = Resolution.Conflict.class, name = "conflict"),
  @JsonSubTypes.Type(value = Resolution.Invalid.class, name = "invalid")
})
public sealed interface Resolution {
  /** The note is in force; the configuration is the one that it leads to. */
  record Accepted(Configuration configuration) implements Resolution {}

  /** Items were changed by other notes since the operator saw them. */
  record Conflict(List<ItemConflict> conflicts) implements Resolution {
    public Conflict {
      conflicts = List.copyOf(conflicts);
    }
  }

  /** The note would lead to a configuration that cannot be. */
  record Invalid(List<String> problems) implements Resolution {
    public Invalid {
      problems = List.copyOf(problems);
    }
  }
}
