package io.cactusspring.standins.worker;

/** Thrown if the epoch of a request is lower than the highest epoch seen. */
final class StaleEpochException extends Exception {
  private static final long serialVersionUID = 1;

  private final long highestEpoch;

  StaleEpochException(long epoch, long highestEpoch) {
    super("epoch is " + epoch + "; expected at least " + highestEpoch);
    this.highestEpoch = highestEpoch;
  }

  long highestEpoch() {
    return highestEpoch;
  }
}
