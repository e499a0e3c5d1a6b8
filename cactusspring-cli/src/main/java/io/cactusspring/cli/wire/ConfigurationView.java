package io.cactusspring.cli.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;

/**
 * The configuration in force on the host that answered.
 *
 * @since 0.1
 */
public record ConfigurationView(long revision, List<Item> items) {
  public ConfigurationView {
    items = items == null ? List.of() : List.copyOf(items);
  }

  /**
   * An item and who last changed it.
   *
   * @param path kind and name, written {@code kind/name}
   */
  public record Item(String path, long revision, String note, String operator, JsonNode item) {}

  public Optional<Item> find(String path) {
    return items.stream().filter(i -> i.path().equals(path)).findFirst();
  }

  /** The items of one kind. */
  public List<Item> ofKind(String kind) {
    return items.stream().filter(i -> i.path().startsWith(kind + "/")).toList();
  }
}
