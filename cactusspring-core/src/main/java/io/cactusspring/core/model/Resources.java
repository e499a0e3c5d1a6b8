package io.cactusspring.core.model;

import static io.cactusspring.core.model.Arguments.checkRange;

/**
 * An amount of a worker's processors, memory and accelerators.
 *
 * <pre>{@code
 * Resources task = new Resources(2_000, 4_096, 0); // two processors, 4 GiB
 * boolean fits = task.fitsIn(free);
 * }</pre>
 *
 * @param milliProcessors thousandths of a processor
 * @param memoryMib memory in MiB
 * @param accelerators whole accelerators
 * @since 0.1
 */
public record Resources(long milliProcessors, long memoryMib, int accelerators) {
  public static final Resources NONE = new Resources(0, 0, 0);
  private static final long MAX_AMOUNT = 1L << 40;
  private static final int MAX_ACCELERATORS = 1 << 20;

  /**
   * @throws IllegalArgumentException if an amount is negative or above the supported maximum
   */
  public Resources {
    checkRange("milliProcessors", milliProcessors, 0, MAX_AMOUNT);
    checkRange("memoryMib", memoryMib, 0, MAX_AMOUNT);
    checkRange("accelerators", accelerators, 0, MAX_ACCELERATORS);
  }

  /** Adds an amount; each sum is capped at the supported maximum. */
  public Resources plus(Resources other) {
    return new Resources(
        Math.min(MAX_AMOUNT, milliProcessors + other.milliProcessors),
        Math.min(MAX_AMOUNT, memoryMib + other.memoryMib),
        Math.min(MAX_ACCELERATORS, accelerators + other.accelerators));
  }

  /**
   * Subtracts an amount that is at most this one in every resource.
   *
   * @throws IllegalArgumentException if a result would be negative
   */
  public Resources minus(Resources other) {
    return new Resources(
        milliProcessors - other.milliProcessors,
        memoryMib - other.memoryMib,
        accelerators - other.accelerators);
  }

  /**
   * Multiplies by a factor; each product is capped at the supported maximum.
   *
   * @throws IllegalArgumentException if the factor is negative
   */
  public Resources times(int factor) {
    checkRange("factor", factor, 0, Integer.MAX_VALUE);
    return new Resources(
        cappedProduct(milliProcessors, factor, MAX_AMOUNT),
        cappedProduct(memoryMib, factor, MAX_AMOUNT),
        (int) cappedProduct(accelerators, factor, MAX_ACCELERATORS));
  }

  private static long cappedProduct(long amount, int factor, long max) {
    return factor != 0 && amount > max / factor ? max : amount * factor;
  }

  public boolean fitsIn(Resources free) {
    return milliProcessors <= free.milliProcessors
        && memoryMib <= free.memoryMib
        && accelerators <= free.accelerators;
  }

  /**
   * Returns the largest fraction that this amount takes of any resource of {@code total}; infinite
   * if it needs a resource that {@code total} lacks.
   */
  public double dominantShareOf(Resources total) {
    double processors = fraction(milliProcessors, total.milliProcessors);
    double memory = fraction(memoryMib, total.memoryMib);
    double devices = fraction(accelerators, total.accelerators);
    return Math.max(processors, Math.max(memory, devices));
  }

  private static double fraction(long part, long whole) {
    if (part == 0) {
      return 0;
    }
    return whole == 0 ? Double.POSITIVE_INFINITY : (double) part / whole;
  }
}
