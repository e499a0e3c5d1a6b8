package io.cactusspring.jobs.estimate;

/** Logarithm of the duration factor of one boot of an executor. */
final class ExecutorSpeed {
  /** Weight of "the executor is as fast as its label", in observations. */
  private static final double PRIOR_WEIGHT = 1;

  /** Weight that earlier observations have at most against a new one. */
  private static final double MAX_WEIGHT = 33;

  /** Growth of that weight by an observation; see {@link LabelSpeed}. */
  private static final double GROWTH = 0.33;

  private double mean;
  private double weight;

  /** Returns the mean of the observations, shrunk to the factor of the label. */
  double logFactor(double labelLogFactor) {
    return labelLogFactor + (mean - labelLogFactor) * weight / (weight + PRIOR_WEIGHT);
  }

  /** Adds the factor that one task shows. */
  void observe(double shownLogFactor) {
    weight = weight == 0 ? 1 : Math.min(MAX_WEIGHT, weight + GROWTH);
    mean += (shownLogFactor - mean) / weight;
  }
}
