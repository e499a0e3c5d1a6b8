package io.cactusspring.benchmarks.cell;

import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.RunId;
import io.cactusspring.core.model.TaskSpec;
import io.cactusspring.core.placement.PendingRun;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.IntStream;

/** Draws the arrivals of a site; the same seed draws the same list. */
public final class Arrivals {
  private static final String GENERATOR = "L64X128MixRandom";

  /** Spread of run times around their mean, as the sigma of a lognormal distribution. */
  private static final double RUN_TIME_SIGMA = 0.6;

  /** How far off declared run times are, as the sigma of a lognormal distribution. */
  private static final double DECLARED_SIGMA = 0.7;

  private final Site site;
  private final RandomGenerator random;
  private final double[] declaredFactors;

  private Arrivals(Site site, long seed) {
    this.site = site;
    this.random = RandomGeneratorFactory.of(GENERATOR).create(seed);
    this.declaredFactors =
        site.classes().stream().mapToDouble(c -> lognormal(DECLARED_SIGMA)).toArray();
  }

  /**
   * Draws arrivals whose demand is the given part of what the site has beside its services.
   *
   * @param load demand for the scarcest resource; 1 is all of it
   */
  static List<Arrival> draw(Site site, double load, int count, long seed) {
    return new Arrivals(site, seed).draw(load, count);
  }

  private List<Arrival> draw(double load, int count) {
    double meanGapMillis = 1 / (load * ratePerMilli());
    List<Arrival> arrivals = new ArrayList<>();
    double at = 0;
    for (int i = 0; i < count; i++) {
      at += -Math.log(1 - random.nextDouble()) * meanGapMillis;
      arrivals.add(arrival((long) at, i));
    }
    return arrivals;
  }

  /** Returns the arrivals a millisecond that use the scarcest resource up. */
  private double ratePerMilli() {
    double weights = site.classes().stream().mapToDouble(WorkClass::weight).sum();
    double processors =
        site.classes().stream().mapToDouble(c -> c.weight() * c.meanProcessorMillis()).sum();
    double memory =
        site.classes().stream().mapToDouble(c -> c.weight() * c.meanMemoryMillis()).sum();
    Resources room = site.totalForBatches();
    double byProcessors = room.milliProcessors() / 1_000.0 / (processors / weights);
    return Math.min(byProcessors, room.memoryMib() / (memory / weights));
  }

  private Arrival arrival(long atMillis, int number) {
    int index = pick(site.classes().stream().mapToDouble(WorkClass::weight).toArray());
    WorkClass workClass = site.classes().get(index);
    String team = team();
    Resources size = workClass.sizes().get(random.nextInt(workClass.sizes().size()));
    double runMillis = workClass.meanMillis() * lognormal(RUN_TIME_SIGMA);
    TaskSpec spec =
        TaskSpec.builder(size)
            .expectedMillis((long) (workClass.meanMillis() * declaredFactors[index]) + 1)
            .urgency(workClass.urgency())
            .checkpointable(workClass.checkpointable())
            .build();
    String workload = workClass.name() + number;
    List<PendingRun> runs =
        IntStream.range(0, workClass.gangSize())
            .mapToObj(i -> new RunId(workload, i))
            .map(r -> new PendingRun(r, 1, team, spec, false, workClass.gangSize()))
            .toList();
    return new Arrival(atMillis, workClass, runs, (long) runMillis + 1);
  }

  /** Teams arrive in proportion to their shares. */
  private String team() {
    Map<String, Integer> shares = new TreeMap<>(site.shares());
    List<String> teams = List.copyOf(shares.keySet());
    return teams.get(pick(shares.values().stream().mapToDouble(s -> s).toArray()));
  }

  private int pick(double[] weights) {
    double left = random.nextDouble() * Arrays.stream(weights).sum();
    int index = 0;
    while (index < weights.length - 1 && left >= weights[index]) {
      left -= weights[index];
      index++;
    }
    return index;
  }

  /** Draws a factor whose mean is 1. */
  private double lognormal(double sigma) {
    return Math.exp(random.nextGaussian() * sigma - sigma * sigma / 2);
  }
}
