package io.cactusspring.jobs.schedule;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The latest checkpoint of what is judged as a whole. The value of any member of a gang is valid
 * for the gang, and the members report at different times.
 */
final class Checkpoint {
  private final int remembered;
  // Most tasks have no checkpoint, so the set is created when it is needed.
  private Set<String> replaced = Set.of();
  private String value = "";

  /**
   * Creates an empty checkpoint.
   *
   * @param remembered number of replaced values that do not become the latest again when a member
   *     reports them late
   */
  Checkpoint(int remembered) {
    this.remembered = remembered;
  }

  /** Returns the latest value; empty if there is none. */
  String value() {
    return value;
  }

  /** Records a value that a current run lists, or has ended with; empty if it has none. */
  void reported(String reported) {
    if (reported.isEmpty() || reported.equals(value) || replaced.contains(reported)) {
      return;
    }
    if (remembered > 0 && !value.isEmpty()) {
      remember(value);
    }
    value = reported;
  }

  private void remember(String earlier) {
    replaced = replaced.isEmpty() ? new LinkedHashSet<>() : replaced;
    replaced.add(earlier);
    if (replaced.size() > remembered) {
      replaced.remove(replaced.iterator().next());
    }
  }
}
