package io.cactusspring.jobs.schedule;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * The load of customer R at a fifth of its size and with smaller jobs: 16% of the capacity for
 * quick jobs, 9% for long-running tasks and 52% for batch jobs, from eight equal organisations.
 */
final class ShortageLoad {
  static final int EXECUTORS = 56;
  static final int ORGANISATIONS = 8;

  private static final double QUICK_PER_SECOND = 24;
  private static final double BATCH_PER_SECOND = 10.5;
  private static final long TICK_MILLIS = 20;

  private final SlotModel model;
  private final Random random;
  private final double batchEstimateSigma;
  private int submitted;

  /**
   * @param batchEstimateSigma the estimates of batch jobs are off by a log-normal factor with this
   *     sigma
   * @param weight agreed jobs a second of each organisation
   */
  ShortageLoad(SlotModel model, long seed, double batchEstimateSigma, double weight) {
    this.model = model;
    this.batchEstimateSigma = batchEstimateSigma;
    random = new Random(seed);
    model.executors(EXECUTORS).organisations(weights(weight));
    model.submit(
        "service", SlotModel.LONG, "o1", 1, SlotModel.step(50, 4, 1_000).longRunning(true).build());
  }

  private static Map<String, Double> weights(double weight) {
    return IntStream.range(0, ORGANISATIONS)
        .boxed()
        .collect(Collectors.toMap(i -> "o" + i, i -> weight));
  }

  /**
   * Submits jobs for a time.
   *
   * @param batchFactor rate of batch jobs relative to the usual one
   * @param organisationFactor rate of each organisation relative to its usual one
   */
  void run(long millis, double batchFactor, ToDoubleFunction<String> organisationFactor) {
    for (long end = model.now() + millis; model.now() < end; model.tick()) {
      for (int i = 0; i < ORGANISATIONS; i++) {
        String organisation = "o" + i;
        double ticks =
            TICK_MILLIS / 1_000.0 / ORGANISATIONS * organisationFactor.applyAsDouble(organisation);
        if (random.nextDouble() < ticks * QUICK_PER_SECOND) {
          submitQuick(organisation);
        }
        if (random.nextDouble() < ticks * BATCH_PER_SECOND * batchFactor) {
          submitBatch(organisation);
        }
      }
    }
  }

  void run(long millis) {
    run(millis, 1, o -> 1);
  }

  private void submitQuick(String organisation) {
    long estimate = Math.round(800 * Math.exp(0.3 * random.nextGaussian()));
    model.submit(
        "quick" + submitted++,
        SlotModel.QUICK,
        organisation,
        Math.exp(0.2 * random.nextGaussian()),
        SlotModel.step(4, 2, estimate).build());
  }

  /** Two steps of 1 to 16 tasks, 4 on average, of 1.1 s on 4 processors. */
  private void submitBatch(String organisation) {
    int tasks = (int) Math.clamp(Math.round(3.2 * Math.exp(0.7 * random.nextGaussian())), 1, 16);
    double duration = 1_000 * Math.exp(0.5 * random.nextGaussian());
    double factor = Math.exp(batchEstimateSigma * random.nextGaussian());
    long estimate = Math.round(duration / factor);
    model.submit(
        "batch" + submitted++,
        SlotModel.BATCH,
        organisation,
        factor,
        SlotModel.step(tasks, 4, estimate).build(),
        SlotModel.step(tasks, 4, estimate).after(List.of(0)).build());
  }
}
