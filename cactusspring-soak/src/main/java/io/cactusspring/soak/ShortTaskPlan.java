package io.cactusspring.soak;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.model.TaskId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * Draws jobs with many short tasks. Its generators are its own, so that the other jobs of a seed
 * are the same with and without them.
 */
final class ShortTaskPlan {
  static final int MIN_MILLIS = 20;
  static final int MAX_MILLIS = 300;
  private static final int MIN_TASKS = 10;
  private static final int MAX_TASKS = 40;
  private static final int MAX_STEPS = 3;
  private static final Resources RESOURCES = new Resources(500, 128, 0);

  private final long seed;
  private final int perMinute;
  private final Set<String> jobs = new HashSet<>();

  ShortTaskPlan(long seed, int perMinute) {
    this.seed = seed;
    this.perMinute = perMinute;
  }

  /** Draws the arrivals of a duration. */
  List<Arrival> draw(long durationMillis) {
    List<Arrival> arrivals = new ArrayList<>();
    if (perMinute == 0) {
      return arrivals;
    }
    Random random = new Random(seed * 31 + 13);
    double at = 0;
    while (true) {
      at += -Math.log(1 - random.nextDouble()) * 60_000 / perMinute;
      if (at >= durationMillis) {
        return arrivals;
      }
      arrivals.add(arrival(random, (long) at));
    }
  }

  private Arrival arrival(Random random, long at) {
    String id = "%016x".formatted(random.nextLong());
    jobs.add(id);
    String organisation = "org" + random.nextInt(Site.ORGANISATIONS);
    List<StepSpec> steps =
        IntStream.range(0, 1 + random.nextInt(MAX_STEPS)).mapToObj(i -> step(random, i)).toList();
    return new Arrival(at, id, Site.QUICK, organisation, steps, -1);
  }

  private static StepSpec step(Random random, int number) {
    return StepSpec.builder()
        .tasks(MIN_TASKS + random.nextInt(MAX_TASKS - MIN_TASKS + 1))
        .resources(RESOURCES)
        .estimateMillis((MIN_MILLIS + MAX_MILLIS) / 2)
        .after(number == 0 ? List.of() : List.of(number - 1))
        .build();
  }

  /** Returns whether a job was drawn here. */
  boolean contains(String job) {
    return jobs.contains(job);
  }

  /** Returns how long a task takes on a normal executor. */
  long taskMillis(TaskId task) {
    Random random = new Random((seed * 31 + task.toString().hashCode()) * 0x9E3779B97F4A7C15L);
    random.nextInt();
    return MIN_MILLIS + random.nextInt(MAX_MILLIS - MIN_MILLIS + 1);
  }
}
