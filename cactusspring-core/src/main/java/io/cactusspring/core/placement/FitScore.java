package io.cactusspring.core.placement;

import io.cactusspring.core.model.Resources;
import java.util.function.ToDoubleBiFunction;

/** Scores a worker on which a task fits; a lower score is better. */
final class FitScore implements ToDoubleBiFunction<WorkerState, Resources> {
  private static final double MIN_FULLEST_FIRST_WEIGHT = 0.5;
  private static final double OVERUSE_PENALTY = 0.25;

  private final double packingWeight;

  FitScore(PlacementPolicy policy) {
    this.packingWeight = policy.packingWeight();
  }

  static boolean prefersFullest(PlacementPolicy policy) {
    return policy.packingWeight() >= MIN_FULLEST_FIRST_WEIGHT;
  }

  @Override
  public double applyAsDouble(WorkerState worker, Resources need) {
    Resources total = worker.total();
    Resources room = worker.available();
    double processors =
        fraction(room.milliProcessors() - need.milliProcessors(), total.milliProcessors());
    double memory = fraction(room.memoryMib() - need.memoryMib(), total.memoryMib());
    double remaining = (processors + memory) / 2;
    double imbalance = Math.abs(processors - memory);
    return packingWeight * (remaining + imbalance)
        - (1 - packingWeight) * Math.min(processors, memory)
        + overusePenalty(worker);
  }

  /** Penalises workers whose tasks use more than they declared. */
  private static double overusePenalty(WorkerState worker) {
    return worker.isOverused() ? OVERUSE_PENALTY : 0;
  }

  private static double fraction(long part, long whole) {
    return whole == 0 ? 0 : (double) part / whole;
  }
}
