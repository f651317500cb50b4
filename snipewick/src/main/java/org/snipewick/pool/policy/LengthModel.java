package org.snipewick.pool.policy;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import org.snipewick.identity.TeamName;

/** Learned lengths of answers by team: small histograms over logarithmic buckets. */
public final class LengthModel {
  private static final int BUCKETS = 40;
  private static final double GROWTH = 1.25;
  private static final double DECAY = 0.998;
  private static final double PRIOR_WEIGHT = 6;
  private static final int MAX_TEAMS = 10_000;
  private static final int ASSUMED_TOKENS = 256;

  private final boolean learning;
  private final float[] all = new float[BUCKETS];
  private final Map<TeamName, float[]> byTeam =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<TeamName, float[]> eldest) {
          return size() > MAX_TEAMS;
        }
      };

  /**
   * Creates a model.
   *
   * @param learning false if every answer is to be taken for as long as its caller allows
   */
  public LengthModel(boolean learning) {
    this.learning = learning;
  }

  /**
   * Learns from an answer.
   *
   * @param team team of the caller
   * @param outputTokens length of the answer, or how far it came
   */
  public void observe(TeamName team, int outputTokens) {
    int bucket = bucketOf(outputTokens);
    add(all, bucket);
    add(byTeam.computeIfAbsent(team, ignored -> new float[BUCKETS]), bucket);
  }

  /**
   * Forecasts a length that an answer will not exceed with some probability.
   *
   * @param team team of the caller
   * @param share probability, 0 to 1
   * @param soFar tokens that the answer has already
   * @param maxOutputTokens longest answer that the caller allows
   * @return whole length in tokens, at least {@code soFar}
   */
  public double quantile(TeamName team, double share, int soFar, int maxOutputTokens) {
    if (!learning) {
      return maxOutputTokens;
    }
    double[] weights = weightsAbove(team, soFar);
    double total = Arrays.stream(weights).sum();
    if (total <= 0) {
      double assumed = all[0] + sum(all) > 0 ? soFar * GROWTH : ASSUMED_TOKENS;
      return Math.min(maxOutputTokens, Math.max(soFar, assumed));
    }
    double sum = 0;
    for (int bucket = 0; bucket < BUCKETS; bucket++) {
      sum += weights[bucket];
      if (sum >= share * total) {
        return Math.min(maxOutputTokens, Math.max(soFar, upperBound(bucket)));
      }
    }
    return maxOutputTokens;
  }

  /**
   * Forecasts the mean length of an answer.
   *
   * @param team team of the caller
   * @param soFar tokens that the answer has already
   * @param maxOutputTokens longest answer that the caller allows
   * @return whole length in tokens, at least {@code soFar}
   */
  public double mean(TeamName team, int soFar, int maxOutputTokens) {
    if (!learning) {
      return maxOutputTokens;
    }
    double[] weights = weightsAbove(team, soFar);
    double total = 0;
    double sum = 0;
    for (int bucket = 0; bucket < BUCKETS; bucket++) {
      total += weights[bucket];
      sum += weights[bucket] * Math.min(maxOutputTokens, Math.max(soFar, middle(bucket)));
    }
    return total > 0 ? sum / total : Math.min(maxOutputTokens, Math.max(soFar, ASSUMED_TOKENS));
  }

  /**
   * Forecasts the probability that an answer is longer than some length.
   *
   * @param team team of the caller
   * @param tokens length in tokens
   * @param maxOutputTokens longest answer that the caller allows
   * @return probability, 0 to 1
   */
  public double exceeds(TeamName team, double tokens, int maxOutputTokens) {
    if (!learning || tokens >= maxOutputTokens) {
      return tokens >= maxOutputTokens ? 0 : 1;
    }
    double[] weights = weightsAbove(team, 0);
    double total = 0;
    double above = 0;
    for (int bucket = 0; bucket < BUCKETS; bucket++) {
      total += weights[bucket];
      above += middle(bucket) > tokens ? weights[bucket] : 0;
    }
    return total > 0 ? above / total : 0;
  }

  private double[] weightsAbove(TeamName team, int soFar) {
    float[] own = byTeam.get(team);
    double sumOfAll = sum(all);
    double[] weights = new double[BUCKETS];
    for (int bucket = soFar > 0 ? bucketOf(soFar) : 0; bucket < BUCKETS; bucket++) {
      double prior = sumOfAll > 0 ? all[bucket] / sumOfAll * PRIOR_WEIGHT : 0;
      weights[bucket] = prior + (own == null ? 0 : own[bucket]);
    }
    return weights;
  }

  private static void add(float[] histogram, int bucket) {
    for (int i = 0; i < BUCKETS; i++) {
      histogram[i] *= (float) DECAY;
    }
    histogram[bucket]++;
  }

  private static double sum(float[] histogram) {
    double sum = 0;
    for (float value : histogram) {
      sum += value;
    }
    return sum;
  }

  private static int bucketOf(int tokens) {
    int bucket = (int) (Math.log(Math.max(1, tokens)) / Math.log(GROWTH));
    return Math.min(BUCKETS - 1, bucket);
  }

  private static double upperBound(int bucket) {
    return Math.pow(GROWTH, bucket + 1.0);
  }

  private static double middle(int bucket) {
    return Math.pow(GROWTH, bucket + 0.5);
  }
}
