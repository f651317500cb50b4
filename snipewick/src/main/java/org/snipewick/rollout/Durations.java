package org.snipewick.rollout;

import java.util.Map;

/**
 * Counts of durations in buckets, each a fifth longer than the one before. Counts of several
 * instances can be added up.
 */
final class Durations {
  /** Number of the last bucket, about four minutes. */
  static final int MAX_BUCKET = 80;

  private static final double FIRST_BUCKET_NANOS = 100_000;
  private static final double GROWTH = 1.2;

  private Durations() {}

  static int bucketOf(double nanos) {
    double steps = Math.log(Math.max(1, nanos / FIRST_BUCKET_NANOS)) / Math.log(GROWTH);
    return (int) Math.min(MAX_BUCKET, steps);
  }

  /** Returns the upper end of a bucket. */
  static double nanosOf(int bucket) {
    return FIRST_BUCKET_NANOS * Math.pow(GROWTH, bucket + 1);
  }

  static long count(Map<Integer, Long> counts) {
    return counts.values().stream().mapToLong(Long::longValue).sum();
  }

  static long countAbove(Map<Integer, Long> counts, int bucket) {
    return counts.entrySet().stream()
        .filter(entry -> entry.getKey() > bucket)
        .mapToLong(Map.Entry::getValue)
        .sum();
  }

  /** Returns the bucket of a quantile; 0 if there are no durations. */
  static int quantile(Map<Integer, Long> counts, double part) {
    long total = count(counts);
    long seen = 0;
    for (int bucket = 0; bucket <= MAX_BUCKET; bucket++) {
      seen += counts.getOrDefault(bucket, 0L);
      if (seen > 0 && seen >= part * total) {
        return bucket;
      }
    }
    return 0;
  }
}
