package io.cactusspring.core.config;

import io.cactusspring.core.model.Change;
import io.cactusspring.core.model.ReleaseNote;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Decides whether a release note takes effect on a configuration. The result depends only on the
 * arguments, so every entry host that replays the log reaches the same one.
 *
 * <pre>{@code
 * Resolution r = NoteResolver.resolve(configuration, offset, note);
 * }</pre>
 *
 * @since 0.1
 */
public final class NoteResolver {
  private NoteResolver() {}

  /**
   * Resolves a note.
   *
   * @param offset offset of the note's record; it becomes the revision of the items changed
   */
  public static Resolution resolve(Configuration current, long offset, ReleaseNote note) {
    List<ItemConflict> conflicts =
        note.changes().stream().flatMap(c -> conflict(current, c).stream()).toList();
    if (!conflicts.isEmpty()) {
      return new Resolution.Conflict(conflicts);
    }
    Configuration next = Configuration.of(offset, applyChanges(current, offset, note));
    List<String> problems = new ArrayList<>(duplicateItems(note));
    problems.addAll(ConfigurationCheck.problems(next));
    problems.addAll(ConfigurationCheck.problemsOfChange(current, next));
    return problems.isEmpty() ? new Resolution.Accepted(next) : new Resolution.Invalid(problems);
  }

  private static Optional<ItemConflict> conflict(Configuration current, Change change) {
    long basedOn =
        switch (change) {
          case Change.Add a -> 0;
          case Change.Replace r -> r.basedOn();
          case Change.Withdraw w -> w.basedOn();
        };
    boolean mustExist = !(change instanceof Change.Add);
    RevisionedItem found = current.items().get(change.path());
    if (found == null) {
      return mustExist
          ? Optional.of(new ItemConflict(change.path(), basedOn, 0, null, null))
          : Optional.empty();
    }
    if (mustExist && found.revision() == basedOn) {
      return Optional.empty();
    }
    return Optional.of(
        new ItemConflict(change.path(), basedOn, found.revision(), found.operator(), found.note()));
  }

  private static Map<String, RevisionedItem> applyChanges(
      Configuration current, long offset, ReleaseNote note) {
    Map<String, RevisionedItem> items = new TreeMap<>(current.items());
    for (Change change : note.changes()) {
      switch (change) {
        case Change.Add a ->
            items.put(a.path(), new RevisionedItem(a.item(), offset, note.id(), note.operator()));
        case Change.Replace r ->
            items.put(r.path(), new RevisionedItem(r.item(), offset, note.id(), note.operator()));
        case Change.Withdraw w -> items.remove(w.path());
      }
    }
    return items;
  }

  private static List<String> duplicateItems(ReleaseNote note) {
    Map<String, Integer> counts = new TreeMap<>();
    note.changes().forEach(c -> counts.merge(c.path(), 1, Integer::sum));
    return counts.entrySet().stream()
        .filter(e -> e.getValue() > 1)
        .map(e -> e.getKey() + " occurs " + e.getValue() + " times in the note; expected once")
        .toList();
  }
}
