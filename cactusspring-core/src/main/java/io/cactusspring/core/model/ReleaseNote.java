package io.cactusspring.core.model;

import java.util.List;

/**
 * Configuration changes that take effect all together or not at all.
 *
 * @param id unique id; a later record with the same id is ignored
 * @param operator name of the operator's key, or {@code bootstrap} for the first note of a cell
 * @since 0.1
 */
public record ReleaseNote(String id, String operator, List<Change> changes) {
  /**
   * @throws IllegalArgumentException if the id is malformed or there is no change
   */
  public ReleaseNote {
    Arguments.checkName("note id", id);
    Arguments.checkName("operator", operator);
    Arguments.checkPresent("changes", changes);
    Arguments.checkRange("number of changes", changes.size(), 1, 10_000);
    changes = List.copyOf(changes);
  }
}
