package io.cactusspring.soak;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.StepId;
import io.cactusspring.jobs.model.StepSpec;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Draws jobs with gangs, and how their runs fail. Its generators are its own, so that the other
 * jobs of a seed are the same with and without gangs.
 */
final class GangPlan {
  static final int MIN_MEMBERS = 2;
  static final int MAX_MEMBERS = 6;

  /** Short runs, so that a job which always fails uses up its attempts within a short soak. */
  private static final double MEDIAN_MILLIS = 400;

  private static final double DURATION_SIGMA = 0.4;
  private static final int MILLI_PROCESSORS = 1_200;
  private static final int MEMORY_MIB = 256;
  private static final int TWO_STEPS_PERCENT = 30;
  private static final int CANCEL_PERCENT = 5;

  private static final int HOPELESS_PERCENT = 15;
  private static final int UNRELIABLE_PERCENT = 60;
  private static final int FAILING_RUNS_PERCENT = 50;

  /** In this share of the failing runs more than one member fails. */
  private static final int SEVERAL_PERCENT = 60;

  private static final int MAX_DELAY_MILLIS = 150;

  private static final List<Queue> QUEUES =
      List.of(Site.FRAGILE, Site.FRAGILE, Site.QUICK, Site.BATCH);

  private final long seed;
  private final int perMinute;
  private final Set<String> jobs = new HashSet<>();

  GangPlan(long seed, int perMinute) {
    this.seed = seed;
    this.perMinute = perMinute;
  }

  /** Draws the arrivals of a duration. */
  List<Arrival> draw(long durationMillis) {
    List<Arrival> arrivals = new ArrayList<>();
    if (perMinute == 0) {
      return arrivals;
    }
    Random random = random("arrivals");
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
    Queue queue = QUEUES.get(random.nextInt(QUEUES.size()));
    String organisation = "org" + random.nextInt(Site.ORGANISATIONS);
    int steps = random.nextInt(100) < TWO_STEPS_PERCENT ? 2 : 1;
    long cancelAfter = random.nextInt(100) < CANCEL_PERCENT ? random.nextInt(3_000) : -1;
    return new Arrival(
        at,
        id,
        queue,
        organisation,
        IntStream.range(0, steps).mapToObj(i -> step(random, i)).toList(),
        cancelAfter);
  }

  private static StepSpec step(Random random, int number) {
    double millis = MEDIAN_MILLIS * Math.exp(random.nextGaussian() * DURATION_SIGMA);
    return StepSpec.builder()
        .tasks(MIN_MEMBERS + random.nextInt(MAX_MEMBERS - MIN_MEMBERS + 1))
        .resources(new Resources(MILLI_PROCESSORS, MEMORY_MIB, 0))
        .estimateMillis(Math.round(millis))
        .after(number == 0 ? List.of() : List.of(number - 1))
        .gang(true)
        .checkpoints(random.nextBoolean())
        .build();
  }

  /** Returns whether a job was drawn here. */
  boolean contains(String job) {
    return jobs.contains(job);
  }

  /** Returns how a run of a gang fails, if it does. */
  Optional<GangFailure> failure(StepId gang, int members, int run) {
    Random random = random(gang + "/" + run);
    return random.nextInt(100) < failingRunsPercent(gang.job())
        ? Optional.of(failure(random, members))
        : Optional.empty();
  }

  private int failingRunsPercent(String job) {
    int kind = random(job).nextInt(100);
    if (kind < HOPELESS_PERCENT) {
      return 100;
    }
    return kind < HOPELESS_PERCENT + UNRELIABLE_PERCENT ? FAILING_RUNS_PERCENT : 0;
  }

  private static GangFailure failure(Random random, int members) {
    int percent = 10 + random.nextInt(90);
    boolean several = random.nextInt(100) < SEVERAL_PERCENT;
    int failing = several ? 2 + random.nextInt(members - 1) : 1;
    boolean atOnce = random.nextBoolean();
    List<Integer> indices = new ArrayList<>(IntStream.range(0, members).boxed().toList());
    Collections.shuffle(indices, random);
    Map<Integer, Long> delays =
        indices.stream()
            .limit(failing)
            .collect(
                Collectors.toMap(
                    Function.identity(),
                    i -> atOnce ? 0L : (long) random.nextInt(MAX_DELAY_MILLIS)));
    return new GangFailure(percent, delays);
  }

  /** Returns a generator whose first draws differ even for names that resemble each other. */
  private Random random(String name) {
    Random random = new Random((seed * 31 + name.hashCode()) * 0x9E3779B97F4A7C15L);
    random.nextInt();
    return random;
  }
}
