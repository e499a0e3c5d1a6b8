package io.cactusspring.standins.hosts;

/**
 * Processors in thousandths, memory in MiB and accelerators, as sent on the wire.
 *
 * @since 0.1
 */
public record Resources(long milliProcessors, long memoryMib, int accelerators) {
  public static final Resources NONE = new Resources(0, 0, 0);

  public Resources plus(Resources other) {
    return new Resources(
        milliProcessors + other.milliProcessors,
        memoryMib + other.memoryMib,
        accelerators + other.accelerators);
  }

  public boolean exceeds(Resources total) {
    return milliProcessors > total.milliProcessors
        || memoryMib > total.memoryMib
        || accelerators > total.accelerators;
  }
}
