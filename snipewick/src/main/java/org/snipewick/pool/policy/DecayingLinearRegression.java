package org.snipewick.pool.policy;

/** Linear least-squares regression in which the weight of old observations decays. */
final class DecayingLinearRegression {
  /** Relative variance of x below which the slope is left unchanged. */
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
   * Creates a regression that starts with two assumed observations.
   *
   * @param x x value of the second assumed observation; that of the first is zero
   * @param atZero assumed y value at zero
   * @param atX assumed y value at {@code x}
   * @param decay factor applied to the weight of older observations with each new one, below 1
   */
  static DecayingLinearRegression of(double x, double atZero, double atX, double decay) {
    DecayingLinearRegression regression = new DecayingLinearRegression(decay);
    regression.add(0, atZero);
    regression.add(x, atX);
    return regression;
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

  /** Returns the predicted y value, at least 0. */
  double predict(double x) {
    double meanX = sumX / weight;
    double meanY = sumY / weight;
    return Math.max(0, meanY + slope * (x - meanX));
  }

  double slope() {
    return slope;
  }
}
