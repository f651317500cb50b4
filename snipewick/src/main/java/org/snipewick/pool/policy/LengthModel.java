package org.snipewick.pool.policy;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import org.snipewick.identity.TeamName;

/**
 * Learned answer lengths by team, in histograms with logarithmic buckets and exponentially decaying
 * weights. The histogram over all teams serves as the prior of each team.
 */
public final class LengthModel {
  private static final int BUCKET_COUNT = 40;

  /** Ratio of the upper bounds, in tokens, of a bucket and the one before it. */
  private static final double BUCKET_GROWTH_FACTOR = 1.25;

  /** Factor on the weight of older answers with each new one; about 500 answers count. */
  private static final double DECAY_FACTOR = 0.998;

  /** Weight of the histogram over all teams in that of a team, in answers. */
  private static final double PRIOR_WEIGHT_ANSWERS = 6;

  /** Maximum number of teams with a histogram; the least recently used one is removed. */
  private static final int MAX_TEAMS = 10_000;

  /** Length that is assumed while there are no observations. */
  private static final int DEFAULT_LENGTH_TOKENS = 256;

  private final boolean learning;
  private final float[] allTeams = new float[BUCKET_COUNT];
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
   * @param learning whether to learn; if false, each answer is assumed to be as long as its caller
   *     allows
   */
  public LengthModel(boolean learning) {
    this.learning = learning;
  }

  /**
   * Records the length of an answer.
   *
   * @param team team of the caller
   * @param outputTokens length of the answer, or of its part if it was not completed, in tokens
   */
  public void observe(TeamName team, int outputTokens) {
    int bucket = bucketOf(outputTokens);
    add(allTeams, bucket);
    add(byTeam.computeIfAbsent(team, ignored -> new float[BUCKET_COUNT]), bucket);
  }

  /**
   * Returns a quantile of the length of an answer.
   *
   * @param team team of the caller
   * @param quantile probability with which the answer is no longer than returned, 0 to 1
   * @param soFar number of tokens that the answer has so far
   * @param maxOutputTokens maximum length that the caller allows, in tokens
   * @return total length in tokens, at least {@code soFar} if that is within {@code
   *     maxOutputTokens}
   */
  public double quantile(TeamName team, double quantile, int soFar, int maxOutputTokens) {
    if (!learning) {
      return maxOutputTokens;
    }
    double[] weights = weightsAbove(team, soFar);
    double total = Arrays.stream(weights).sum();
    if (total <= 0) {
      double assumedTokens =
          allTeams[0] + sum(allTeams) > 0 ? soFar * BUCKET_GROWTH_FACTOR : DEFAULT_LENGTH_TOKENS;
      return Math.min(maxOutputTokens, Math.max(soFar, assumedTokens));
    }
    double sum = 0;
    for (int bucket = 0; bucket < BUCKET_COUNT; bucket++) {
      sum += weights[bucket];
      if (sum >= quantile * total) {
        return Math.min(maxOutputTokens, Math.max(soFar, upperBoundTokens(bucket)));
      }
    }
    return maxOutputTokens;
  }

  /**
   * Returns the forecast mean length of an answer.
   *
   * @param team team of the caller
   * @param soFar number of tokens that the answer has so far
   * @param maxOutputTokens maximum length that the caller allows, in tokens
   * @return total length in tokens, at least {@code soFar} if that is within {@code
   *     maxOutputTokens}
   */
  public double mean(TeamName team, int soFar, int maxOutputTokens) {
    if (!learning) {
      return maxOutputTokens;
    }
    double[] weights = weightsAbove(team, soFar);
    double total = 0;
    double sum = 0;
    for (int bucket = 0; bucket < BUCKET_COUNT; bucket++) {
      total += weights[bucket];
      sum += weights[bucket] * Math.min(maxOutputTokens, Math.max(soFar, midpointTokens(bucket)));
    }
    return total > 0
        ? sum / total
        : Math.min(maxOutputTokens, Math.max(soFar, DEFAULT_LENGTH_TOKENS));
  }

  /**
   * Returns the forecast probability that an answer is longer than a given length.
   *
   * @param team team of the caller
   * @param tokens length in tokens
   * @param maxOutputTokens maximum length that the caller allows, in tokens
   * @return probability, 0 to 1
   */
  public double exceedProbability(TeamName team, double tokens, int maxOutputTokens) {
    if (!learning || tokens >= maxOutputTokens) {
      return tokens >= maxOutputTokens ? 0 : 1;
    }
    double[] weights = weightsAbove(team, 0);
    double total = 0;
    double above = 0;
    for (int bucket = 0; bucket < BUCKET_COUNT; bucket++) {
      total += weights[bucket];
      above += midpointTokens(bucket) > tokens ? weights[bucket] : 0;
    }
    return total > 0 ? above / total : 0;
  }

  private double[] weightsAbove(TeamName team, int soFar) {
    float[] teamHistogram = byTeam.get(team);
    double allTeamsWeight = sum(allTeams);
    double[] weights = new double[BUCKET_COUNT];
    for (int bucket = soFar > 0 ? bucketOf(soFar) : 0; bucket < BUCKET_COUNT; bucket++) {
      double prior =
          allTeamsWeight > 0 ? allTeams[bucket] / allTeamsWeight * PRIOR_WEIGHT_ANSWERS : 0;
      weights[bucket] = prior + (teamHistogram == null ? 0 : teamHistogram[bucket]);
    }
    return weights;
  }

  private static void add(float[] histogram, int bucket) {
    for (int i = 0; i < BUCKET_COUNT; i++) {
      histogram[i] *= (float) DECAY_FACTOR;
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
    int bucket = (int) (Math.log(Math.max(1, tokens)) / Math.log(BUCKET_GROWTH_FACTOR));
    return Math.min(BUCKET_COUNT - 1, bucket);
  }

  private static double upperBoundTokens(int bucket) {
    return Math.pow(BUCKET_GROWTH_FACTOR, bucket + 1.0);
  }

  private static double midpointTokens(int bucket) {
    return Math.pow(BUCKET_GROWTH_FACTOR, bucket + 0.5);
  }
}
