package io.cactusspring.soak;

import io.cactusspring.jobs.model.TaskId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The failed runs of what has attempts of its own: a task, or all members of a gang, whose run has
 * failed once any of them has ended failed.
 */
final class FailedRuns {
  /**
   * A start, which was right unless as many runs as it names had failed before.
   *
   * @param maxAttempts number of failed runs after which nothing may start
   */
  private record Start(long at, TaskId task, int run, int maxAttempts) {}

  /** For each run, the members that ended failed, and when. */
  private final Map<Integer, Map<TaskId, Long>> ends = new HashMap<>();

  /** For each run, the first end failed that a host has taken note of. */
  private final Map<Integer, Long> noted = new HashMap<>();

  private final List<Start> starts = new ArrayList<>();

  /** Returns the number of failed runs, whether a host has taken note of them or not. */
  int count() {
    return ends.size();
  }

  /** Returns the number of failed runs in which several members ended failed. */
  int countOfSeveral() {
    return (int) ends.values().stream().filter(members -> members.size() > 1).count();
  }

  void failed(TaskId task, int run, long at) {
    ends.computeIfAbsent(run, r -> new HashMap<>()).put(task, at);
  }

  /**
   * Records that a host has taken note of an end failed.
   *
   * @return an earlier start that is wrong because of it
   */
  Optional<String> acknowledged(TaskId task, int run) {
    Long at = ends.getOrDefault(run, Map.of()).get(task);
    if (at != null) {
      noted.merge(run, at, Math::min);
    }
    return takeWrongStart();
  }

  /**
   * Records a start.
   *
   * @return the start if it is wrong
   */
  Optional<String> started(TaskId task, int run, long at, int maxAttempts) {
    starts.add(new Start(at, task, run, maxAttempts));
    return takeWrongStart();
  }

  /** Returns a start after too many failed runs; each one is returned once. */
  private Optional<String> takeWrongStart() {
    Optional<Start> wrong =
        starts.stream().filter(s -> failedBefore(s) >= s.maxAttempts()).findFirst();
    wrong.ifPresent(starts::remove);
    return wrong.map(
        s ->
            "%s run %d started at %d ms after %d failed runs"
                .formatted(s.task(), s.run(), s.at(), failedBefore(s)));
  }

  private long failedBefore(Start start) {
    return noted.entrySet().stream()
        .filter(e -> e.getKey() != start.run() && e.getValue() <= start.at())
        .count();
  }
}
