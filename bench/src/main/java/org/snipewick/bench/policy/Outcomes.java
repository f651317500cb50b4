package org.snipewick.bench.policy;

import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.snipewick.identity.Tier;

/** Counts what became of the requests that arrived after the warm-up and well before the end. */
final class Outcomes {
  private static final long MAX_MICROS = 600_000_000L;

  private final Map<Tier, Counts> byTier = new EnumMap<>(Tier.class);

  /** Counts of a tier. */
  static final class Counts {
    long offered;
    long good;
    double prefilled;
    double wasted;
    final Histogram firstTokenMicros = new Histogram(MAX_MICROS, 3);
    final Histogram betweenTokensMicros = new Histogram(MAX_MICROS, 3);
  }

  Outcomes() {
    for (Tier tier : Tier.values()) {
      byTier.put(tier, new Counts());
    }
  }

  Counts of(Tier tier) {
    return byTier.get(tier);
  }

  void offered(Workload.Request request) {
    if (counts(request)) {
      of(request.work().tier()).offered++;
    }
  }

  void ended(EngineFake.Job job, long firstTokenMicros, long nowMicros) {
    if (!counts(job.request)) {
      return;
    }
    Counts counts = of(job.request.work().tier());
    counts.prefilled += job.prefilled;
    if (!job.isComplete()) {
      counts.wasted += job.prefilled;
      return;
    }
    counts.good++;
    counts.firstTokenMicros.recordValue(firstTokenMicros - job.request.atMillis() * 1_000);
    if (job.tokens > 1) {
      counts.betweenTokensMicros.recordValue((nowMicros - firstTokenMicros) / (job.tokens - 1));
    }
  }

  /** Adds up the counts of all tiers. */
  Counts all() {
    Counts sum = new Counts();
    for (Counts counts : byTier.values()) {
      sum.offered += counts.offered;
      sum.good += counts.good;
      sum.prefilled += counts.prefilled;
      sum.wasted += counts.wasted;
      sum.firstTokenMicros.add(counts.firstTokenMicros);
      sum.betweenTokensMicros.add(counts.betweenTokensMicros);
    }
    return sum;
  }

  /** Tells whether a request arrived in the part of the run that is counted. */
  static boolean counts(Workload.Request request) {
    return request.atMillis() >= BenchCase.WARM_UP_MILLIS
        && request.atMillis() < BenchCase.COUNT_END_MILLIS;
  }
}
