package org.snipewick.bench.policy;

import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.snipewick.identity.Tier;

/** Counts the results of the requests that arrive in the measured part of a run. */
final class Outcomes {
  private static final long MAX_RECORDED_MICROS = 600_000_000L;

  private final Map<Tier, Counts> byTier = new EnumMap<>(Tier.class);

  /** Counts of one tier or of several together. */
  static final class Counts {
    long offered;
    long answeredInTime;
    double prefilledTokens;
    double wastedPrefillTokens;
    final Histogram firstTokenMicros = new Histogram(MAX_RECORDED_MICROS, 3);
    final Histogram betweenTokensMicros = new Histogram(MAX_RECORDED_MICROS, 3);
  }

  Outcomes() {
    for (Tier tier : Tier.values()) {
      byTier.put(tier, new Counts());
    }
  }

  Counts of(Tier tier) {
    return byTier.get(tier);
  }

  /** Records a request that arrived. */
  void recordOffered(Workload.Request request) {
    if (isMeasured(request)) {
      of(request.work().tier()).offered++;
    }
  }

  /** Records a request that left its engine, completed or not. */
  void recordEnd(EngineFake.Job job, long firstTokenMicros, long nowMicros) {
    if (!isMeasured(job.request)) {
      return;
    }
    Counts counts = of(job.request.work().tier());
    counts.prefilledTokens += job.prefilledTokens;
    if (!job.isComplete()) {
      counts.wastedPrefillTokens += job.prefilledTokens;
      return;
    }
    counts.answeredInTime++;
    counts.firstTokenMicros.recordValue(firstTokenMicros - job.request.atMillis() * 1_000);
    if (job.generatedTokens > 1) {
      counts.betweenTokensMicros.recordValue(
          (nowMicros - firstTokenMicros) / (job.generatedTokens - 1));
    }
  }

  /** Returns the sum of the counts of all tiers. */
  Counts total() {
    Counts sum = new Counts();
    for (Counts counts : byTier.values()) {
      sum.offered += counts.offered;
      sum.answeredInTime += counts.answeredInTime;
      sum.prefilledTokens += counts.prefilledTokens;
      sum.wastedPrefillTokens += counts.wastedPrefillTokens;
      sum.firstTokenMicros.add(counts.firstTokenMicros);
      sum.betweenTokensMicros.add(counts.betweenTokensMicros);
    }
    return sum;
  }

  /** Returns whether a request arrived in the measured part of the run. */
  static boolean isMeasured(Workload.Request request) {
    return request.atMillis() >= BenchCase.WARM_UP_MILLIS
        && request.atMillis() < BenchCase.MEASUREMENT_END_MILLIS;
  }
}
