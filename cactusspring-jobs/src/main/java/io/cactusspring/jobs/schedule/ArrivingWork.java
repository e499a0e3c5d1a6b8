package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.model.Queue;
import java.util.HashMap;
import java.util.Map;

/**
 * The work that arrived in the last seconds, by service and priority, as an estimate of what will
 * arrive in the next ones.
 */
final class ArrivingWork {
  /** A burst of 4 s is noticed before it ends, and a single large job is not taken for one. */
  private static final long TIME_CONSTANT_MILLIS = 5_000;

  private record Source(String service, int priority, ResourceKind kind) {}

  private final Map<Source, RecentAverage> sources = new HashMap<>();

  /** Records the work of a job at the time of its acceptance. */
  void add(LiveJob job, Queue queue, Durations durations) {
    for (ResourceKind kind : ResourceKind.values()) {
      double work = RemainingWork.of(job, durations, kind).work();
      if (work > 0) {
        sources
            .computeIfAbsent(
                new Source(queue.service(), queue.priority(), kind),
                s -> new RecentAverage(TIME_CONSTANT_MILLIS))
            .add(work, job.submittedAt());
      }
    }
  }

  /** Returns how much of a resource the arriving jobs of a service need, by priority. */
  Map<Integer, Double> amounts(String service, ResourceKind kind, long now) {
    Map<Integer, Double> byPriority = new HashMap<>();
    sources.forEach(
        (source, average) -> {
          if (source.service.equals(service) && source.kind == kind) {
            byPriority.put(source.priority, average.value(now));
          }
        });
    return byPriority;
  }
}
