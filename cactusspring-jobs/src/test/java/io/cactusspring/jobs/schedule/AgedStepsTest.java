package io.cactusspring.jobs.schedule;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.StepSpec;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests that accepted jobs start under lasting load, however late they are. */
final class AgedStepsTest {
  private static final int SEEDS = Integer.getInteger("cactusspring.fuzz", 2);
  private static final long FIRST_SEED = Long.getLong("cactusspring.fuzz.first", 1);
  private static final int EXECUTORS = 12;

  /** Processors that one batch or quick job needs on average, for one second. */
  private static final double MEAN_WORK = 8.6;

  /** Makes 22% of the work quick. */
  private static final double QUICK_FRACTION = 0.4;

  private static final long TICK_MILLIS = 20;
  private static final long BURST_MILLIS = 3_000;
  private static final long LOAD_MILLIS = 60_000;
  private static final long DRAIN_MILLIS = 20_000;
  private static final Map<String, Double> ORGANISATIONS = Map.of("a", 1_000.0, "b", 1_000.0);

  /** Guards against an accepted job that ranks after all later ones and never starts. */
  @Test
  void overdueJobStartsWhileJobsInTimeKeepArriving() {
    SlotModel model = SlotModel.newOrder().organisations(ORGANISATIONS).executors(1);
    model.submit("fill", SlotModel.QUICK, "b", 1, SlotModel.step(4, 4, 12_000).build());
    model.run(100);
    SlotModel.Submission late =
        model.submit("late", SlotModel.BATCH, "a", 1, SlotModel.step(1, 4, 200).build());
    for (int i = 0; i < 600; i++) {
      model.submit("quick" + i, SlotModel.QUICK, "b", 1, SlotModel.step(2, 4, 400).build());
      model.run(100);
    }
    assertThat(model.firstStartAt).containsKey("late");
    assertThat(model.firstStartAt.get("late") - late.spec.acceptedMillis())
        .isAtMost(AgedSteps.AGED_AFTER_MILLIS + AgedSteps.TURN_MILLIS);
  }

  /**
   * Callers send 1.5 to 2 times the capacity for 60 s. Hosts that cannot reach the owner accept all
   * of it for the first seconds, so that many jobs are late from then on.
   */
  private static SlotModel overload(SlotModel model, long seed) {
    Random random = new Random(seed);
    double load = 1.5 + 0.5 * random.nextDouble();
    double perTick =
        load * EXECUTORS * SlotModel.EXECUTOR_PROCESSORS / MEAN_WORK * TICK_MILLIS / 1_000;
    model.organisations(ORGANISATIONS).executors(EXECUTORS);
    long start = model.now();
    int submitted = 0;
    for (; model.now() < start + LOAD_MILLIS; model.tick()) {
      for (double due = perTick; random.nextDouble() < due; due--) {
        boolean quick = random.nextDouble() < QUICK_FRACTION;
        String organisation = random.nextBoolean() ? "a" : "b";
        int tasks = quick ? 1 : 1 + random.nextInt(4);
        long estimate = Math.round(1_000 * Math.exp(0.3 * random.nextGaussian()));
        double factor = Math.exp((quick ? 0.2 : 0.6) * random.nextGaussian());
        String id = (quick ? "quick" : "batch") + submitted++;
        Queue queue = quick ? SlotModel.QUICK : SlotModel.BATCH;
        StepSpec step = SlotModel.step(tasks, 4, estimate).build();
        if (model.now() < start + BURST_MILLIS) {
          model.submit(id, queue, organisation, factor, step);
        } else {
          model.offer(id, queue, organisation, factor, step);
        }
      }
    }
    model.run(DRAIN_MILLIS);
    return model;
  }

  private static long inTime(SlotModel model) {
    return model.submissions.values().stream().filter(SlotModel.Submission::isInTime).count();
  }

  /** Returns the longest time for which an aged job waited and no aged job started. */
  private static long longestPause(SlotModel model, long until) {
    long longest = 0;
    long aged = firstAgedAt(model, Long.MIN_VALUE);
    List<Long> starts =
        model.submissions.values().stream()
            .filter(s -> waitMillis(model, s) >= AgedSteps.AGED_AFTER_MILLIS)
            .map(s -> startAt(model, s))
            .sorted()
            .toList();
    for (long start : starts) {
      longest = Math.max(longest, Math.min(start, until) - aged);
      aged = firstAgedAt(model, start);
    }
    return longest;
  }

  /** Returns when, at a time or later, the first job was aged that had not started. */
  private static long firstAgedAt(SlotModel model, long when) {
    return model.submissions.values().stream()
        .filter(s -> startAt(model, s) > when)
        .filter(s -> waitMillis(model, s) >= AgedSteps.AGED_AFTER_MILLIS)
        .mapToLong(s -> Math.max(when, s.spec.acceptedMillis() + AgedSteps.AGED_AFTER_MILLIS))
        .min()
        .orElse(Long.MAX_VALUE);
  }

  private static long startAt(SlotModel model, SlotModel.Submission job) {
    return model.firstStartAt.getOrDefault(job.spec.id(), model.now());
  }

  private static long waitMillis(SlotModel model, SlotModel.Submission job) {
    return startAt(model, job) - job.spec.acceptedMillis();
  }

  private static long longestRun(SlotModel model) {
    return model.submissions.values().stream()
        .filter(s -> waitMillis(model, s) >= AgedSteps.AGED_AFTER_MILLIS)
        .mapToLong(s -> s.criticalPathMillis)
        .max()
        .orElse(0);
  }

  private static long agedStarts(SlotModel model, long until) {
    return model.submissions.values().stream()
        .filter(s -> startAt(model, s) < until)
        .filter(s -> waitMillis(model, s) >= AgedSteps.AGED_AFTER_MILLIS)
        .count();
  }

  /** Guards against late jobs that wait until the load ends, and against a high price of that. */
  @Test
  void agedJobsStartOneAfterTheOtherUnderOverload() {
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
      SlotModel with = overload(SlotModel.newOrder(), seed);
      SlotModel without = overload(SlotModel.without(Mechanism.AGED_STEPS), seed);
      long end = with.now() - DRAIN_MILLIS;
      String figures =
          "seed %d: longest pause %d ms, %d without; aged starts %d, %d without; in time %d, %d"
              .formatted(
                  seed,
                  longestPause(with, end),
                  longestPause(without, end),
                  agedStarts(with, end),
                  agedStarts(without, end),
                  inTime(with),
                  inTime(without));
      assertWithMessage(figures)
          .that(longestPause(with, end))
          .isAtMost(AgedSteps.TURN_MILLIS + longestRun(with));
      assertWithMessage(figures)
          .that((double) inTime(with))
          .isAtLeast((1 - AgedSteps.MAX_SHARE) * inTime(without));
    }
  }
}
