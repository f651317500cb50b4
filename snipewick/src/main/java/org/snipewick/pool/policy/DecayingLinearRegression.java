package org.snipewick.pool.policy;

/** Straight line through observations, found by least squares in which old ones fade. */
final class DecayingLinearRegression {
  private static final double MIN_VARIANCE_SHARE = 1e-4;

  private final double decay;
  private double weight;
  private double sumX;
  private double sumY;
  private double sumXx;
  private double sumXy;
  private double slope;

  private DecayingLinearRegression(double decay) {
    this.decay = decay;
  }

  /**
   * Creates an estimate that starts with two assumed observations.
   *
   * @param x second assumed position; the first is zero
   * @param atZero assumed value at zero
   * @param atX assumed value at {@code x}
   * @param decay factor by which older observations fade with each new one, below one
   */
  static DecayingLinearRegression of(double x, double atZero, double atX, double decay) {
    DecayingLinearRegression estimate = new DecayingLinearRegression(decay);
    estimate.add(0, atZero);
    estimate.add(x, atX);
    return estimate;
  }

  void add(double x, double y) {
    weight = weight * decay + 1;
    sumX = sumX * decay + x;
    sumY = sumY * decay + y;
    sumXx = sumXx * decay + x * x;
    sumXy = sumXy * decay + x * y;
    double variance = weight * sumXx - sumX * sumX;
    if (variance > MIN_VARIANCE_SHARE * weight * sumXx) {
      slope = Math.max(0, (weight * sumXy - sumX * sumY) / variance);
    }
  }

  double predict(double x) {
    double meanX = sumX / weight;
    double meanY = sumY / weight;
    return Math.max(0, meanY + slope * (x - meanX));
  }

  double slope() {
    return slope;
  }
}
