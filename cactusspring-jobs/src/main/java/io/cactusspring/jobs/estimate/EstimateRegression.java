package io.cactusspring.jobs.estimate;

/**
 * Online regression, for one queue, of the logarithm of a duration on the logarithm of its declared
 * estimate. Until there are observations, the estimate counts as right.
 */
final class EstimateRegression {
  /** Weight of "the estimate is right", in steps. */
  private static final double PRIOR_WEIGHT = 4;

  /** Weight of "durations are proportional to estimates", in steps of unit variance. */
  private static final double SLOPE_PRIOR_WEIGHT = 3;

  /** Decay of earlier observations by each new one; 200 steps count. */
  private static final double DECAY = 0.995;

  /** An estimate further from the usual one, by a factor of 20, has no more influence than this. */
  private static final double MAX_DISTANCE = 3;

  /** Number of steps from which the usual estimate is known well enough to recognise outliers. */
  private static final double MIN_WEIGHT = 10;

  private double weight;
  private double meanEstimate;
  private double meanError;
  private double estimateSquares;
  private double products;

  /** Learns from a step whose tasks took {@code logMillis} on a normal executor, on average. */
  void observe(long estimateMillis, double logMillis) {
    // The first step without an estimate shows what estimates of the queue would be.
    double x =
        estimateMillis == 0 && !hasObservations()
            ? logMillis
            : distance(estimateMillis) + meanEstimate;
    double error = logMillis - x;
    weight = weight * DECAY + 1;
    double dx = x - meanEstimate;
    double dz = error - meanError;
    meanEstimate += dx / weight;
    meanError += dz / weight;
    estimateSquares = estimateSquares * DECAY + dx * (x - meanEstimate);
    products = products * DECAY + dx * (error - meanError);
  }

  /** Returns how far an estimate is from the usual one, as a bounded logarithm. */
  private double distance(long estimateMillis) {
    if (estimateMillis == 0) {
      // Without an estimate, the usual duration of the queue is expected.
      return 0;
    }
    double distance = Math.log(estimateMillis) - meanEstimate;
    return weight < MIN_WEIGHT ? distance : Math.clamp(distance, -MAX_DISTANCE, MAX_DISTANCE);
  }

  boolean hasObservations() {
    return weight > 0;
  }

  /** Returns the expected duration on a normal executor. */
  double expectedMillis(long estimateMillis) {
    if (!hasObservations()) {
      return estimateMillis;
    }
    if (estimateMillis == 0) {
      return Math.exp(meanEstimate + meanError);
    }
    double distance = distance(estimateMillis);
    double offset = meanError * weight / (weight + PRIOR_WEIGHT);
    double slope = products / (estimateSquares + SLOPE_PRIOR_WEIGHT);
    return Math.exp(meanEstimate + distance + offset + slope * distance);
  }
}
