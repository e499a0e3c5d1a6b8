package io.cactusspring.cli.note;

import com.fasterxml.jackson.databind.JsonNode;
import io.cactusspring.cli.wire.ConfigurationView;
import io.cactusspring.cli.wire.Json;
import io.cactusspring.core.model.Change;
import io.cactusspring.core.model.ConfigItem;
import io.cactusspring.core.model.ReleaseNote;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * Difference between one entry of a release note and the configuration in force.
 *
 * @param sign {@code +} added, {@code ~} changed, {@code -} withdrawn
 * @param fields changed fields with their old and new values, as text
 * @param basedOn revision of the item that the entry is based on; 0 for an addition
 * @param inForce revision of the item in force; 0 when there is no such item
 * @since 0.1
 */
public record Difference(
    String sign, String item, List<String> fields, long basedOn, long inForce) {
  private static final Set<String> HIDDEN_FIELDS = Set.of("salt", "hash");
  private static final String ABSENT = "-";

  public Difference {
    fields = List.copyOf(fields);
  }

  /** Returns the differences of a note, in the order of its entries. */
  public static List<Difference> of(ReleaseNote note, ConfigurationView inForce) {
    return note.changes().stream().map(c -> of(c, inForce)).toList();
  }

  private static Difference of(Change change, ConfigurationView view) {
    Optional<ConfigurationView.Item> old = view.find(change.path());
    long revision = old.map(ConfigurationView.Item::revision).orElse(0L);
    JsonNode before = old.map(ConfigurationView.Item::item).orElseGet(Difference::emptyNode);
    return switch (change) {
      case Change.Add a ->
          new Difference("+", a.path(), changed(emptyNode(), tree(a.item())), 0, revision);
      case Change.Replace r ->
          new Difference("~", r.path(), changed(before, tree(r.item())), r.basedOn(), revision);
      case Change.Withdraw w -> new Difference("-", w.path(), List.of(), w.basedOn(), revision);
    };
  }

  private static JsonNode emptyNode() {
    return Json.file().createObjectNode();
  }

  private static JsonNode tree(ConfigItem item) {
    return Json.file().valueToTree(item);
  }

  private static List<String> changed(JsonNode before, JsonNode after) {
    Set<String> names = new TreeSet<>();
    before.fieldNames().forEachRemaining(names::add);
    after.fieldNames().forEachRemaining(names::add);
    names.removeAll(Set.of("kind", "name"));
    List<String> result = new ArrayList<>();
    for (String name : names) {
      changed(name, before.get(name), after.get(name)).ifPresent(result::add);
    }
    return result;
  }

  private static Optional<String> changed(String name, JsonNode before, JsonNode after) {
    if (HIDDEN_FIELDS.contains(name)) {
      return name.equals("hash") ? Optional.of("secret: (hidden)") : Optional.empty();
    }
    String old = text(before);
    String now = text(after);
    if (old.equals(now)) {
      return Optional.empty();
    }
    return Optional.of(old.equals(ABSENT) ? name + ": " + now : name + ": " + old + " -> " + now);
  }

  private static String text(JsonNode value) {
    return value == null || value.isNull() ? ABSENT : value.toString();
  }

  /** Returns whether the entry is based on another revision than the one in force. */
  public boolean stale() {
    return basedOn != inForce;
  }

  @Override
  public String toString() {
    String shown = fields.isEmpty() ? "" : "  " + String.join(", ", fields);
    String revisions = stale() ? "  (based on %d, in force %d)".formatted(basedOn, inForce) : "";
    return sign + " " + item + shown + revisions;
  }

  /** Returns one line for each difference. */
  public static String print(List<Difference> differences) {
    return differences.stream()
        .map(Difference::toString)
        .collect(Collectors.joining(System.lineSeparator()));
  }
}
