package io.cactusspring.core.model;

import java.util.List;

/**
 * Changes of the configuration that take effect together or not at all.
 *
 * @param id unique id; a second record with the same id changes nothing
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
