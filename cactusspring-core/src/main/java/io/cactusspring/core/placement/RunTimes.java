package io.cactusspring.core.placement;

import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.TaskSpec;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Observed run times by team and kind of task, and the bounds estimated from them. Callers use
 * declared run times only as a fallback.
 */
final class RunTimes {
  private static final int MAX_KINDS = 4_096;
  private static final int MIN_SAMPLES = 5;
  private static final int MAX_SAMPLES = 32;

  private final double factor;
  private final Map<Kind, Samples> samplesByKind =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Kind, Samples> eldest) {
          return size() > MAX_KINDS;
        }
      };

  /** Tasks of a team whose size and declared run time agree within a factor of two. */
  private record Kind(String team, int processors, int memory, int accelerators, int expected) {
    static Kind of(String team, TaskSpec spec) {
      Resources size = spec.resources();
      return new Kind(
          team,
          bitLength(size.milliProcessors()),
          bitLength(size.memoryMib()),
          size.accelerators(),
          bitLength(spec.expectedMillis()));
    }

    private static int bitLength(long value) {
      return Long.SIZE - Long.numberOfLeadingZeros(value);
    }
  }

  /** The most recent run times of a kind, in milliseconds. */
  private static final class Samples {
    private final long[] millis = new long[MAX_SAMPLES];
    private int count;
    private long longest;
    private long shortest;

    void add(long value) {
      millis[count % MAX_SAMPLES] = value;
      count++;
      longest = Arrays.stream(millis, 0, size()).max().orElse(0);
      shortest = Arrays.stream(millis, 0, size()).min().orElse(0);
    }

    int size() {
      return Math.min(count, MAX_SAMPLES);
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

  /** Returns an upper bound on the run time, in milliseconds; empty with too few samples. */
  OptionalLong upperBound(String team, TaskSpec spec) {
    Samples samples = samplesByKind.get(Kind.of(team, spec));
    if (samples == null || samples.size() < MIN_SAMPLES) {
      return OptionalLong.empty();
    }
    return OptionalLong.of((long) (samples.longest * factor));
  }

  /** Returns a lower bound on the run time, in milliseconds; 0 with too few samples. */
  long lowerBound(String team, TaskSpec spec) {
    Samples samples = samplesByKind.get(Kind.of(team, spec));
    if (samples == null || samples.size() < MIN_SAMPLES) {
      return 0;
    }
    return (long) (samples.shortest / factor);
  }
}
