package io.cactusspring.standins.worker;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * State shared by all agents of one process: the running attempts of each run, and the progress
 * saved by checkpoints. Thread-safe.
 */
final class RunRegistry {
  private final Map<String, Set<String>> running = new HashMap<>();
  private final Map<String, Long> progressNanos = new HashMap<>();

  /** Returns the run id of a task, which is the task id without the attempt. */
  static String runOf(String task) {
    int separator = task.lastIndexOf('@');
    return separator < 0 ? task : task.substring(0, separator);
  }

  /** Records a start and returns whether another attempt of the same run is running. */
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
