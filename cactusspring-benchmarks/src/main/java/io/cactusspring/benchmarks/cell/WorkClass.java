package io.cactusspring.benchmarks.cell;

import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.Urgency;
import java.util.List;

/**
 * A kind of work that arrives at a site.
 *
 * @param weight relative frequency among the arrivals
 * @param sizes task sizes, drawn with equal probability
 * @param meanMillis mean run time of a task
 * @param gangSize number of tasks that start together; 1 for a single task
 */
public record WorkClass(
    String name,
    double weight,
    List<Resources> sizes,
    long meanMillis,
    Urgency urgency,
    boolean checkpointable,
    int gangSize) {
  public WorkClass {
    sizes = List.copyOf(sizes);
  }

  /** Returns the mean processor time that one arrival needs, in processor milliseconds. */
  double meanProcessorMillis() {
    double processors =
        sizes.stream().mapToLong(Resources::milliProcessors).average().orElse(0) / 1_000;
    return processors * meanMillis * gangSize;
  }

  /** Returns the mean memory use over time of one arrival, in MiB times milliseconds. */
  double meanMemoryMillis() {
    double memory = sizes.stream().mapToLong(Resources::memoryMib).average().orElse(0);
    return memory * meanMillis * gangSize;
  }
}
