package io.cactusspring.standins.worker;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * What the agents of one process know together: where each run is running, and the progress that
 * checkpoints have kept. Thread-safe.
 */
final class RunRegistry {
  private final Map<String, Set<String>> running = new HashMap<>();
  private final Map<String, Long> progressNanos = new HashMap<>();

  /** Returns the run of a task: its id without the attempt. */
  static String runOf(String task) {
    int separator = task.lastIndexOf('@');
    return separator < 0 ? task : task.substring(0, separator);
  }

  /** Records a start and returns whether another attempt of the run was running. */
  synchronized boolean recordStart(String task) {
    Set<String> attempts = running.computeIfAbsent(runOf(task), run -> new HashSet<>());
    attempts.add(task);
    return attempts.size() > 1;
  }

  synchronized void recordEnd(String task) {
    running.computeIfPresent(
        runOf(task),
        (run, attempts) -> {
          attempts.remove(task);
          return attempts.isEmpty() ? null : attempts;
        });
  }

  synchronized void saveProgress(String task, long nanos) {
    progressNanos.put(runOf(task), nanos);
  }

  synchronized long progressOf(String task) {
    return progressNanos.getOrDefault(runOf(task), 0L);
  }
}
