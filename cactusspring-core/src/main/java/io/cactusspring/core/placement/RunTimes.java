package io.cactusspring.core.placement;

import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.TaskSpec;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/** Run times seen, by team and kind of task; declared run times are only a fallback. */
final class RunTimes {
  private static final int MAX_KINDS = 4_096;
  private static final int MIN_SAMPLES = 5;
  private static final int SAMPLES = 32;

  private final double factor;
  private final Map<Kind, Samples> samplesByKind =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Kind, Samples> eldest) {
          return size() > MAX_KINDS;
        }
      };

  private record Kind(String team, Resources resources, long expectedMillis) {
    static Kind of(String team, TaskSpec spec) {
      return new Kind(team, spec.resources(), spec.expectedMillis());
    }
  }

  /** The last run times of a kind, in milliseconds. */
  private static final class Samples {
    private final long[] millis = new long[SAMPLES];
    private int count;

    void add(long value) {
      millis[count % SAMPLES] = value;
      count++;
    }

    int size() {
      return Math.min(count, SAMPLES);
    }

    long longest() {
      long found = 0;
      for (int i = 0; i < size(); i++) {
        found = Math.max(found, millis[i]);
      }
      return found;
    }

    long shortest() {
      long found = Long.MAX_VALUE;
      for (int i = 0; i < size(); i++) {
        found = Math.min(found, millis[i]);
      }
      return found;
    }
  }

  RunTimes(double factor) {
    this.factor = factor;
  }

  void observe(TaskState task, long nowMillis) {
    if (task.startMillis() == TaskState.UNKNOWN_START) {
      return;
    }
    Kind kind = Kind.of(task.committed().team(), task.committed().spec());
    long millis = Math.max(0, nowMillis - task.startMillis());
    samplesByKind.computeIfAbsent(kind, k -> new Samples()).add(millis);
  }

  /** Returns the longest run time to reckon with, in milliseconds; empty with too few samples. */
  OptionalLong longest(String team, TaskSpec spec) {
    Samples samples = samplesByKind.get(Kind.of(team, spec));
    if (samples == null || samples.size() < MIN_SAMPLES) {
      return OptionalLong.empty();
    }
    return OptionalLong.of((long) (samples.longest() * factor));
  }

  /** Returns the shortest run time to reckon with, in milliseconds; 0 with too few samples. */
  long shortest(String team, TaskSpec spec) {
    Samples samples = samplesByKind.get(Kind.of(team, spec));
    if (samples == null || samples.size() < MIN_SAMPLES) {
      return 0;
    }
    return (long) (samples.shortest() / factor);
  }
}
