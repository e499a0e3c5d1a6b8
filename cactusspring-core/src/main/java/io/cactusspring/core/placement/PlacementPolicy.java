package io.cactusspring.core.placement;

import io.cactusspring.core.model.Arguments;

/**
 * Settings of placement; immutable.
 *
 * <pre>{@code
 * PlacementPolicy policy =
 *     PlacementPolicy.builder().packingWeight(0.8).quarantineFailures(5).build();
 * }</pre>
 *
 * @param packingWeight weight of tight packing, 0 to 1; the remaining weight goes to an even load
 *     of the workers, which shortens waiting times
 * @param fullThreshold fraction of the processors or the memory in use, 0 to 1, from which the
 *     shard counts as full
 * @param shareTolerance how far a team may exceed its share, as a fraction of the share, while the
 *     shard is full and a team below its share waits
 * @param spreadServices whether replicas of one service are spread over racks
 * @param backfill whether short or checkpointable runs may use capacity reserved for others
 * @param durationFactor safety factor on observed run times for backfill and reservations, 1 to
 *     100; the longest observed run time is multiplied by it, the shortest divided by it
 * @param reservationDelayMillis how long a single run waits before capacity is reserved for it
 * @param maxReservedWorkerFraction maximum fraction of the workers, 0 to 1, with reservations
 * @param quarantineFailures number of consecutive failures, without a success, after which a worker
 *     is quarantined
 * @param quarantineMillis initial quarantine time; doubled after each failed probe
 * @param maxQuarantineMillis maximum quarantine time
 * @since 0.1
 */
public record PlacementPolicy(
    double packingWeight,
    double fullThreshold,
    double shareTolerance,
    boolean spreadServices,
    boolean backfill,
    double durationFactor,
    long reservationDelayMillis,
    double maxReservedWorkerFraction,
    int quarantineFailures,
    long quarantineMillis,
    long maxQuarantineMillis) {
  private static final long MAX_MILLIS = 24L * 3_600_000;

  /**
   * @throws IllegalArgumentException if a value is out of range
   */
  public PlacementPolicy {
    checkRange("packingWeight", packingWeight, 0, 1);
    checkRange("fullThreshold", fullThreshold, 0, 1);
    checkRange("shareTolerance", shareTolerance, 0, 1_000);
    checkRange("durationFactor", durationFactor, 1, 100);
    Arguments.checkRange("reservationDelayMillis", reservationDelayMillis, 0, MAX_MILLIS);
    checkRange("maxReservedWorkerFraction", maxReservedWorkerFraction, 0, 1);
    Arguments.checkRange("quarantineFailures", quarantineFailures, 1, 1_000);
    Arguments.checkRange("quarantineMillis", quarantineMillis, 1, MAX_MILLIS);
    Arguments.checkRange("maxQuarantineMillis", maxQuarantineMillis, quarantineMillis, MAX_MILLIS);
  }

  public static Builder builder() {
    return new Builder();
  }

  private static void checkRange(String field, double value, double min, double max) {
    if (!(value >= min && value <= max)) {
      throw new IllegalArgumentException(
          field + " is " + value + "; expected " + min + " to " + max);
    }
  }

  /** Builds a {@link PlacementPolicy}. */
  public static final class Builder {
    private double packingWeight = 0.8;
    private double fullThreshold = 0.93;
    private double shareTolerance = 0.02;
    private boolean spreadServices = true;
    private boolean backfill = true;
    private double durationFactor = 1.5;
    private long reservationDelayMillis = 60_000;
    private double maxReservedWorkerFraction = 0.1;
    private int quarantineFailures = 5;
    private long quarantineMillis = 10_000;
    private long maxQuarantineMillis = 600_000;

    private Builder() {}

    public Builder packingWeight(double value) {
      packingWeight = value;
      return this;
    }

    public Builder fullThreshold(double value) {
      fullThreshold = value;
      return this;
    }

    public Builder shareTolerance(double value) {
      shareTolerance = value;
      return this;
    }

    public Builder spreadServices(boolean value) {
      spreadServices = value;
      return this;
    }

    public Builder backfill(boolean value) {
      backfill = value;
      return this;
    }

    public Builder durationFactor(double value) {
      durationFactor = value;
      return this;
    }

    public Builder reservationDelayMillis(long value) {
      reservationDelayMillis = value;
      return this;
    }

    public Builder maxReservedWorkerFraction(double value) {
      maxReservedWorkerFraction = value;
      return this;
    }

    public Builder quarantineFailures(int value) {
      quarantineFailures = value;
      return this;
    }

    public Builder quarantineMillis(long value) {
      quarantineMillis = value;
      return this;
    }

    public Builder maxQuarantineMillis(long value) {
      maxQuarantineMillis = value;
      return this;
    }

    /**
     * @throws IllegalArgumentException if a value is out of range
     */
    public PlacementPolicy build() {
      return new PlacementPolicy(
          packingWeight,
          fullThreshold,
          shareTolerance,
          spreadServices,
          backfill,
          durationFactor,
          reservationDelayMillis,
          maxReservedWorkerFraction,
          quarantineFailures,
          quarantineMillis,
          maxQuarantineMillis);
    }
  }
}
