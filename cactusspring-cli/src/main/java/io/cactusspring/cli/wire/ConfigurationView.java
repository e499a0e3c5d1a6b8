package io.cactusspring.cli.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;

/**
 * The configuration in force on the host that responded.
 *
 * @since 0.1
 */
public record ConfigurationView(long revision, List<Item> items) {
  public ConfigurationView {
    items = items == null ? List.of() : List.copyOf(items);
  }

  /**
   * An item with the revision, the note and the operator of its last change.
   *
   * @param path kind and name, written {@code kind/name}
   */
  public record Item(String path, long revision, String note, String operator, JsonNode item) {}

  /** Returns the item with a path, written {@code kind/name}. */
  public Optional<Item> find(String path) {
    return items.stream().filter(i -> i.path().equals(path)).findFirst();
  }

  /** Returns the items of one kind. */
  public List<Item> ofKind(String kind) {
    return items.stream().filter(i -> i.path().startsWith(kind + "/")).toList();
  }
}
