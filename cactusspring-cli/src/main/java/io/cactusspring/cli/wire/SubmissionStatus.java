package io.cactusspring.cli.wire;

import io.cactusspring.core.model.Outcome;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * State of a submission.
 *
 * @param counts number of runs in each state
 * @param waiting why its runs wait; null when none waits or the responding host does not place them
 * @param placedBy entry host that places its runs; null when none does
 * @since 0.1
 */
public record SubmissionStatus(
    String id,
    String team,
    boolean gang,
    boolean cancelled,
    Map<String, Integer> counts,
    List<RunStatus> runs,
    String waiting,
    String placedBy) {
  public SubmissionStatus {
    counts = counts == null ? Map.of() : new TreeMap<>(counts);
    runs = runs == null ? List.of() : List.copyOf(runs);
  }

  /** State of one run. */
  public record RunStatus(String run, String state, int attempt, String worker, String outcome) {}

  /** Returns the number of runs with an outcome. */
  public int ended() {
    return Arrays.stream(Outcome.values()).mapToInt(this::count).sum();
  }

  public int count(Outcome outcome) {
    return counts.getOrDefault(outcome.name(), 0);
  }

  public int total() {
    return counts.values().stream().mapToInt(Integer::intValue).sum();
  }

  public boolean finished() {
    return total() > 0 && ended() == total();
  }
}
