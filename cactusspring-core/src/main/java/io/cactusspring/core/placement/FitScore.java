package io.cactusspring.core.placement;

import io.cactusspring.core.model.Resources;
import java.util.function.ToDoubleBiFunction;

/** Scores a fitting worker; the lower the better. */
final class FitScore implements ToDoubleBiFunction<WorkerState, Resources> {
  private static final double EVEN_WEIGHT = 0.5;
  private static final double HOT_PENALTY = 0.25;

  private final double packing;

  FitScore(PlacementPolicy policy) {
    this.packing = policy.packingWeight();
  }

  static boolean prefersFullest(PlacementPolicy policy) {
    return policy.packingWeight() >= EVEN_WEIGHT;
  }

  @Override
  public double applyAsDouble(WorkerState worker, Resources need) {
    Resources total = worker.total();
    Resources room = worker.available();
    double processors =
        fraction(room.milliProcessors() - need.milliProcessors(), total.milliProcessors());
    double memory = fraction(room.memoryMib() - need.memoryMib(), total.memoryMib());
    double left = (processors + memory) / 2;
    double skew = Math.abs(processors - memory);
    return packing * (left + skew) - (1 - packing) * Math.min(processors, memory) + heat(worker);
  }

  /** Avoids workers whose tasks use more than they declared. */
  private static double heat(WorkerState worker) {
    return worker.isOverused() ? HOT_PENALTY : 0;
  }

  private static double fraction(long part, long whole) {
    return whole == 0 ? 0 : (double) part / whole;
  }
}
