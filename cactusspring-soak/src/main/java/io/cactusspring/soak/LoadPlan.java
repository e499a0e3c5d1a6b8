package io.cactusspring.soak;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.StepId;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.model.TaskId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** Draws the jobs of a run, and the durations of their tasks, from its seed. */
final class LoadPlan {
  private static final double QUICK_PER_SECOND = 5;
  private static final double ADVISED_PER_SECOND = 1;
  private static final double BATCH_PER_SECOND = 0.6;
  private static final double SERVING_PER_SECOND = 0.08;

  /** The rates above need about 120 of the 176 processors; the overload needs 1.5 times all. */
  private static final double OVERLOAD_FACTOR = 2.2;

  /** The large organisation submits this share of all jobs. */
  private static final double LARGE_SHARE = 0.4;

  private static final int CANCEL_PERCENT = 3;
  private static final int CANCEL_BURST_PERCENT = 60;

  /** In two of three seeds some jobs have a task that crashes the executors on which it starts. */
  private static final int[] CRASHING_JOBS_PERMILLE = {20, 8, 0};

  private static final int SOON_MILLIS = 20;
  private static final double ESTIMATE_SIGMA = 0.5;

  /** Longer tasks would only prolong the end of a run. */
  private static final double MAX_FACTOR = 2.5;

  private static final double DURATION_SIGMA = 0.15;
  private static final long SERVING_MILLIS = 8_000;

  private final Random random;
  private final long seed;
  private final List<Fault> faults;
  private final int failurePermille;
  private final GangPlan gangs;
  private final ShortTaskPlan shortTasks;
  private final List<Arrival> arrivals = new ArrayList<>();

  /**
   * Creates a plan.
   *
   * @param failurePermille share of the runs that fail
   * @param gangsPerMinute jobs with gangs beside the other jobs
   */
  LoadPlan(long seed, List<Fault> faults, int failurePermille, int gangsPerMinute) {
    this(seed, faults, failurePermille, gangsPerMinute, 0);
  }

  /**
   * Creates a plan.
   *
   * @param failurePermille share of the runs that fail
   * @param gangsPerMinute jobs with gangs beside the other jobs
   * @param shortTaskJobsPerMinute jobs with many short tasks beside the other jobs
   */
  LoadPlan(
      long seed,
      List<Fault> faults,
      int failurePermille,
      int gangsPerMinute,
      int shortTaskJobsPerMinute) {
    // Differs from the seed of the faults, so that the two plans are independent.
    random = new Random(seed * 31 + 7);
    this.seed = seed;
    this.faults = faults;
    this.failurePermille = failurePermille;
    gangs = new GangPlan(seed, gangsPerMinute);
    shortTasks = new ShortTaskPlan(seed, shortTaskJobsPerMinute);
  }

  /** Draws the arrivals of a duration, in the order of their times. */
  List<Arrival> draw(long durationMillis) {
    for (int i = 0; i < Site.ORGANISATIONS; i++) {
      double share = i == 0 ? LARGE_SHARE : (1 - LARGE_SHARE) / (Site.ORGANISATIONS - 1);
      fill(durationMillis, Site.QUICK, i, QUICK_PER_SECOND * share);
      fill(durationMillis, Site.ADVISED, i, ADVISED_PER_SECOND * share);
      fill(durationMillis, Site.BATCH, i, BATCH_PER_SECOND * share);
      fill(durationMillis, Site.SERVING, i, SERVING_PER_SECOND * share);
    }
    arrivals.addAll(gangs.draw(durationMillis));
    arrivals.addAll(shortTasks.draw(durationMillis));
    return arrivals.stream().sorted(Comparator.comparingLong(Arrival::at)).toList();
  }

  private void fill(long durationMillis, Queue queue, int organisation, double perSecond) {
    double at = 0;
    while (true) {
      at += -Math.log(1 - random.nextDouble()) * 1_000 / (perSecond * factor(at, organisation));
      if (at >= durationMillis) {
        return;
      }
      arrivals.add(arrival((long) at, queue, "org" + organisation, durationMillis));
    }
  }

  private double factor(double at, int organisation) {
    return faults.stream()
        .filter(f -> f.isActive((long) at))
        .mapToDouble(
            f ->
                switch (f.kind()) {
                  case SURGE -> f.target() == organisation ? f.amount() / 100.0 : 1;
                  case OVERLOAD -> OVERLOAD_FACTOR;
                  default -> 1;
                })
        .reduce(1, (a, b) -> a * b);
  }

  private Arrival arrival(long at, Queue queue, String organisation, long durationMillis) {
    String id = "%016x".formatted(random.nextLong());
    boolean burst =
        faults.stream().anyMatch(f -> f.kind() == Fault.Kind.CANCELLATIONS && f.isActive(at));
    boolean cancelled = random.nextInt(100) < (burst ? CANCEL_BURST_PERCENT : CANCEL_PERCENT);
    long cancelAfter = cancelled ? random.nextInt(3_000) : -1;
    if (queue == Site.SERVING) {
      // Its tasks run until they are cancelled.
      cancelAfter = Math.min(SERVING_MILLIS + random.nextInt(8_000), durationMillis - at);
    }
    return new Arrival(at, id, queue, organisation, steps(queue), cancelAfter);
  }

  private List<StepSpec> steps(Queue queue) {
    if (queue == Site.SERVING) {
      return List.of(step(4, 4_500, 0, List.of()).longRunning(true).maxUnavailable(1).build());
    }
    boolean batch = queue == Site.BATCH;
    int count = 1 + random.nextInt(batch ? 3 : 2);
    return IntStream.range(0, count)
        .mapToObj(
            i -> {
              List<Integer> after = i == 0 ? List.of() : List.of(i - 1);
              if (!batch) {
                return step(1 + random.nextInt(8), 2_200, 500, after).build();
              }
              boolean gang = random.nextInt(6) == 0;
              return step(gang ? 3 : 3 + random.nextInt(8), 4_500, 1_000, after)
                  .gang(gang)
                  .checkpoints(!gang && random.nextBoolean())
                  .build();
            })
        .toList();
  }

  private StepSpec.Builder step(
      int tasks, int milliProcessors, long medianMillis, List<Integer> after) {
    return StepSpec.builder()
        .tasks(tasks)
        .resources(new Resources(milliProcessors, 512, 0))
        .estimateMillis(Math.round(medianMillis * Math.exp(random.nextGaussian() * 0.4)))
        .after(after);
  }

  /** Returns how long a task takes on a normal executor. */
  long taskMillis(TaskId task, StepSpec step) {
    if (shortTasks.contains(task.job())) {
      return shortTasks.taskMillis(task);
    }
    Random ofStep = new Random(seed ^ task.stepId().toString().hashCode());
    Random ofTask = new Random(seed ^ task.toString().hashCode());
    double factor =
        Math.exp(ofStep.nextGaussian() * ESTIMATE_SIGMA + ofTask.nextGaussian() * DURATION_SIGMA);
    return Math.max(50, Math.round(step.estimateMillis() * Math.min(MAX_FACTOR, factor)));
  }

  /** Returns the time from the start of a task until its executor crashes, if it does. */
  OptionalLong crashMillis(TaskId task) {
    Random ofJob = new Random(seed ^ task.job().hashCode());
    ofJob.nextInt();
    int permille = CRASHING_JOBS_PERMILLE[(int) (seed % CRASHING_JOBS_PERMILLE.length)];
    boolean crashes = ofJob.nextInt(1_000) < permille && task.step() == 0 && task.index() == 0;
    long millis = ofJob.nextBoolean() ? SOON_MILLIS : 1_000 + ofJob.nextInt(3_000);
    return crashes ? OptionalLong.of(millis) : OptionalLong.empty();
  }

  /** Returns whether a run fails. */
  boolean fails(TaskId task, int run) {
    Random ofRun = new Random(seed ^ (task.toString() + "/" + run).hashCode());
    ofRun.nextInt();
    return ofRun.nextInt(1_000) < failurePermille;
  }

  /** Returns how long a gang works on normal executors: as long as its slowest member. */
  long gangMillis(StepId gang, StepSpec step) {
    return members(gang, step).mapToLong(t -> taskMillis(t, step)).max().orElse(1);
  }

  /** Returns how a run of a gang fails, if it does. */
  Optional<GangFailure> gangFailure(StepId gang, StepSpec step, int run) {
    if (gangs.contains(gang.job())) {
      return gangs.failure(gang, step.tasks(), run);
    }
    Map<Integer, Long> failing =
        members(gang, step)
            .filter(t -> fails(t, run))
            .collect(Collectors.toMap(TaskId::index, t -> 0L));
    return failing.isEmpty() ? Optional.empty() : Optional.of(new GangFailure(100, failing));
  }

  private static Stream<TaskId> members(StepId gang, StepSpec step) {
    return IntStream.range(0, step.tasks())
        .mapToObj(i -> new TaskId(gang.job(), gang.occurrence(), gang.step(), i));
  }
}
