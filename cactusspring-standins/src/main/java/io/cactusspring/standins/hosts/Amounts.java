package io.cactusspring.standins.hosts;

/**
 * Processors, memory and accelerators on the wire.
 *
 * @since 0.1
 */
public record Amounts(long milliProcessors, long memoryMib, int accelerators) {
  public static final Amounts NONE = new Amounts(0, 0, 0);

  public Amounts plus(Amounts other) {
    return new Amounts(
        milliProcessors + other.milliProcessors,
        memoryMib + other.memoryMib,
        accelerators + other.accelerators);
  }

  public boolean exceeds(Amounts total) {
    return milliProcessors > total.milliProcessors
        || memoryMib > total.memoryMib
        || accelerators > total.accelerators;
  }
}
