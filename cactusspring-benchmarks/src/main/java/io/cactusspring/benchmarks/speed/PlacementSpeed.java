package io.cactusspring.benchmarks.speed;

import io.cactusspring.benchmarks.cell.Site;
import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.RunId;
import io.cactusspring.core.model.TaskId;
import io.cactusspring.core.model.TaskSpec;
import io.cactusspring.core.model.Urgency;
import io.cactusspring.core.placement.Decision;
import io.cactusspring.core.placement.PendingRun;
import io.cactusspring.core.placement.PlacementPolicy;
import io.cactusspring.core.placement.Placer;
import io.cactusspring.core.placement.ReleaseReason;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.HdrHistogram.Histogram;

/**
 * Measures placement in a cell under steady load: in each step one task ends, one run arrives, and
 * the placer decides.
 */
public final class PlacementSpeed {
  private static final int BUDGET = 1_000_000;
  private static final int SERVICE_EVERY = 5;
  private static final int URGENT_EVERY = 20;
  private static final int ACCELERATED_EVERY = 6;
  private static final int ACCELERATORS = 8;
  private static final int SHAPES = 24;
  private static final long MAX_NANOS = 10_000_000_000L;

  private final CellSize size;
  private final RandomGenerator random;
  private final Placer placer = new Placer(PlacementPolicy.builder().build());
  private final List<TaskId> runningTasks = new ArrayList<>();
  private final Resources[] shapes = new Resources[SHAPES];
  private final Histogram decideNanos = new Histogram(MAX_NANOS, 3);
  private long nowMillis;
  private long measuredNanos;
  private int nextWorkload;
  private int placements;

  private PlacementSpeed(CellSize size, long seed) {
    this.size = size;
    this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    for (int i = 0; i < SHAPES; i++) {
      shapes[i] =
          new Resources(
              random.nextInt(1, 13) * 1_000L,
              random.nextInt(1, 48) * 1_024L,
              i % ACCELERATED_EVERY == 0 ? 1 : 0);
    }
  }

  /** Fills a cell, runs half as many steps for warm-up and measures the given number of steps. */
  public static SpeedResult measure(CellSize size, int steps, long seed) {
    PlacementSpeed speed = new PlacementSpeed(size, seed);
    speed.fill();
    speed.runSteps(steps / 2);
    speed.resetMeasurements();
    speed.runSteps(steps);
    return speed.result();
  }

  private void fill() {
    Map<String, Integer> shares = new HashMap<>();
    for (int i = 0; i < size.teams(); i++) {
      shares.put("t" + i, 1 + i % 8);
    }
    placer.setTeams(shares);
    for (int i = 0; i < size.workers(); i++) {
      int accelerators = i % ACCELERATED_EVERY == 0 ? ACCELERATORS : 0;
      placer.putWorker(Site.worker(i, new Resources(64_000, 262_144, accelerators)));
    }
    int missing = size.tasks();
    while (missing > 0) {
      int before = runningTasks.size();
      for (int i = 0; i < missing; i++) {
        enqueue(i % SERVICE_EVERY == 0);
      }
      decide(missing);
      missing -= runningTasks.size() - before + missing / SERVICE_EVERY + 1;
    }
    for (int i = placer.waitingRuns(); i < size.backlog(); i++) {
      enqueue(false);
    }
  }

  private void runSteps(int steps) {
    for (int i = 0; i < steps; i++) {
      nowMillis += 1 + i % 3;
      int index = random.nextInt(runningTasks.size());
      TaskId task = runningTasks.get(index);
      runningTasks.set(index, runningTasks.getLast());
      runningTasks.removeLast();
      PendingRun run = newRun(false);
      long start = System.nanoTime();
      placer.release(task, ReleaseReason.SUCCEEDED, nowMillis);
      placer.enqueue(run, nowMillis);
      measuredNanos += System.nanoTime() - start;
      decide(100);
    }
  }

  private void enqueue(boolean service) {
    placer.enqueue(newRun(service), nowMillis);
  }

  private PendingRun newRun(boolean service) {
    int number = nextWorkload++;
    String team = "t" + random.nextInt(size.teams());
    TaskSpec spec =
        TaskSpec.builder(shapes[random.nextInt(SHAPES)])
            .expectedMillis(service ? 0 : 60_000)
            .urgency(number % URGENT_EVERY == 0 ? Urgency.URGENT : Urgency.NORMAL)
            .checkpointable(number % 2 == 0)
            .build();
    String workload = service ? "service:s" + number % 100 : "b" + number;
    return new PendingRun(new RunId(workload, number), 1, team, spec, service, 1);
  }

  private void decide(int max) {
    long start = System.nanoTime();
    List<Decision> decisions = placer.decide(nowMillis, max, t -> BUDGET);
    long nanos = System.nanoTime() - start;
    measuredNanos += nanos;
    decideNanos.recordValue(Math.min(MAX_NANOS, nanos));
    decisions.forEach(this::apply);
  }

  private void apply(Decision decision) {
    switch (decision) {
      case Decision.Place p -> {
        placements++;
        if (!p.run().service()) {
          runningTasks.add(p.run().task());
        }
      }
      case Decision.Preempt p -> placements += 0;
      case Decision.PlaceGang g ->
          throw new IllegalStateException("gang placed although none was queued");
      case Decision.Infeasible i ->
          throw new IllegalStateException(
              i + " was decided for a run that fits on an empty worker");
    }
  }

  private void resetMeasurements() {
    decideNanos.reset();
    measuredNanos = 0;
    placements = 0;
  }

  private SpeedResult result() {
    int running = placer.workers().stream().mapToInt(w -> w.tasks()).sum();
    double seconds = measuredNanos / 1e9;
    return new SpeedResult(
        size,
        running,
        placer.waitingRuns(),
        placements / seconds,
        (double) measuredNanos / Math.max(1, placements),
        decideNanos);
  }
}
