package org.snipewick.bench.cost;

import static java.util.Objects.requireNonNull;

import java.util.Locale;

/**
 * Result of one measurement.
 *
 * @param series what is varied
 * @param size value of what is varied
 * @param corePercent processor time of an instance, in percent of a core
 * @param bytesPerSecond bytes between instances per second, for an instance
 * @param heapMegabytes heap in use of an instance, in units of 1,000,000 bytes
 * @param residentMegabytes memory that the system has given to an instance, in the same units
 * @param addedMedianMillis added latency of the median request, in milliseconds; 0 if not measured
 * @param addedTailMillis added latency at the 99th percentile, in milliseconds; 0 if not measured
 */
public record CostRow(
    String series,
    long size,
    double corePercent,
    double bytesPerSecond,
    double heapMegabytes,
    double residentMegabytes,
    double addedMedianMillis,
    double addedTailMillis) {
  private static final double PERCENT = 100;
  private static final double MEGABYTE = 1e6;

  /** Checks the series. */
  public CostRow {
    requireNonNull(series, "series");
  }

  static CostRow of(String series, long size, Sample.Use use) {
    return new CostRow(
        series,
        size,
        use.cores() * PERCENT,
        use.bytesPerSecond(),
        use.heapBytes() / MEGABYTE,
        use.residentBytes() / MEGABYTE,
        0,
        0);
  }

  CostRow withLatency(double medianMillis, double tailMillis) {
    return new CostRow(
        series,
        size,
        corePercent,
        bytesPerSecond,
        heapMegabytes,
        residentMegabytes,
        medianMillis,
        tailMillis);
  }

  static String header() {
    return String.format(
        Locale.ROOT,
        "%-12s %8s %10s %10s %9s %9s %12s %12s",
        "series",
        "size",
        "core %",
        "bytes/s",
        "heap MB",
        "RSS MB",
        "added p50 ms",
        "added p99 ms");
  }

  String toText() {
    return String.format(
        Locale.ROOT,
        "%-12s %8d %10.3f %10.0f %9.1f %9.1f %12.2f %12.2f",
        series,
        size,
        corePercent,
        bytesPerSecond,
        heapMegabytes,
        residentMegabytes,
        addedMedianMillis,
        addedTailMillis);
  }
}
