package io.cactusspring.benchmarks.cell;

import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.RunId;
import io.cactusspring.core.model.TaskSpec;
import io.cactusspring.core.placement.PendingRun;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.IntStream;

/** Draws the arrivals of a site. The same seed gives the same list. */
public final class Arrivals {
  private static final String GENERATOR = "L64X128MixRandom";

  /** Spread of run times around their mean, as the sigma of a lognormal distribution. */
  private static final double RUN_TIME_SIGMA = 0.6;

  /** Error of declared run times, as the sigma of a lognormal distribution. */
  private static final double DECLARED_SIGMA = 0.7;

  private final Site site;
  private final List<String> teams;
  private final RandomGenerator random;
  private final double[] declaredFactors;

  private Arrivals(Site site, List<String> teams, long seed) {
    this.site = site;
    this.teams = teams;
    this.random = RandomGeneratorFactory.of(GENERATOR).create(seed);
    this.declaredFactors =
        site.classes().stream().mapToDouble(c -> lognormal(DECLARED_SIGMA)).toArray();
  }

  /** Draws the arrivals of a demand. */
  static List<Arrival> draw(Site site, Demand demand, long seed) {
    List<String> teams =
        demand.evenTeams()
            ? site.shares().keySet().stream().sorted().toList()
            : site.teamsByShare();
    return new Arrivals(site, teams, seed).draw(demand.load(), demand.arrivals());
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

  /**
   * Returns the arrivals per millisecond whose demand equals the capacity of the scarcest resource.
   */
  private double ratePerMilli() {
    double weights = site.classes().stream().mapToDouble(WorkClass::weight).sum();
    double processors =
        site.classes().stream().mapToDouble(c -> c.weight() * c.meanProcessorMillis()).sum();
    double memory =
        site.classes().stream().mapToDouble(c -> c.weight() * c.meanMemoryMillis()).sum();
    Resources capacity = site.totalWithoutServices();
    double byProcessors = capacity.milliProcessors() / 1_000.0 / (processors / weights);
    return Math.min(byProcessors, capacity.memoryMib() / (memory / weights));
  }

  private Arrival arrival(long atMillis, int number) {
    int index = pickWeighted(site.classes().stream().mapToDouble(WorkClass::weight).toArray());
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

  private String team() {
    return teams.get(random.nextInt(teams.size()));
  }

  private int pickWeighted(double[] weights) {
    double remaining = random.nextDouble() * Arrays.stream(weights).sum();
    int index = 0;
    while (index < weights.length - 1 && remaining >= weights[index]) {
      remaining -= weights[index];
      index++;
    }
    return index;
  }

  /** Draws a factor whose mean is 1. */
  private double lognormal(double sigma) {
    return Math.exp(random.nextGaussian() * sigma - sigma * sigma / 2);
  }
}
