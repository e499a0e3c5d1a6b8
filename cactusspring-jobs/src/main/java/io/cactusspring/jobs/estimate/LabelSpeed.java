package io.cactusspring.jobs.estimate;

/** Logarithm of the duration factor that the executors with one label have in common. */
final class LabelSpeed {
  /**
   * Least weight of one observation. A change of a whole label takes effect after some 100
   * observations, which a large site makes in a second.
   */
  private static final double MIN_GAIN = 0.01;

  /**
   * Growth of the weight by an observation. Early observations are corrected by factors that are
   * wrong themselves, so they are forgotten sooner than in a plain mean.
   */
  private static final double GROWTH = 0.33;

  /** Below this number, the noise of single tasks may look like a difference of a quarter. */
  private static final int MIN_OBSERVATIONS = 30;

  /** Weight of a factor that the previous owner learned, in observations. */
  private static final int INHERITED_WEIGHT = 5;

  private final boolean inherited;
  private double logFactor;
  private long observations;
  private double weight;
  private double batchSum;
  private int batchSize;

  private LabelSpeed(double logFactor, boolean inherited) {
    this.logFactor = logFactor;
    this.inherited = inherited;
    weight = inherited ? INHERITED_WEIGHT : 0;
  }

  /** Creates the factor of a label of which nothing is known. */
  static LabelSpeed unknown(double logFactor) {
    return new LabelSpeed(logFactor, false);
  }

  /** Creates a factor that the previous owner learned. */
  static LabelSpeed inherited(double logFactor) {
    return new LabelSpeed(logFactor, true);
  }

  double logFactor() {
    return logFactor;
  }

  /** Returns the number of observations of this owner. */
  long observations() {
    return observations;
  }

  /** Returns whether the factor is based on enough observations, of this owner or the previous. */
  boolean isKnown() {
    return inherited || observations >= MIN_OBSERVATIONS;
  }

  /** Returns the variance of the factor's logarithm as a multiple of that of one task. */
  double relativeVariance() {
    return observations < MIN_OBSERVATIONS ? MIN_GAIN : Math.max(1 / weight, MIN_GAIN);
  }

  /** Adds the factor that one task shows, to be applied with those of its sisters. */
  void collect(double shownLogFactor) {
    batchSum += shownLogFactor - logFactor;
    batchSize++;
  }

  /** Applies the collected factors. Sisters share their reference and count as one mean. */
  void apply() {
    if (batchSize == 0) {
      return;
    }
    double gain =
        Math.max(batchSize / (weight + batchSize + 1), Math.min(0.5, batchSize * MIN_GAIN));
    logFactor += gain * batchSum / batchSize;
    observations += batchSize;
    weight += batchSize * GROWTH;
    batchSum = 0;
    batchSize = 0;
  }
}
