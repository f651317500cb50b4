package org.snipewick.bench.cost;

import static java.util.Objects.requireNonNull;

import java.util.Locale;

/**
 * Result of one measurement, averaged over the instances and printed as text or JSON.
 *
 * @param series name of the series, which says what is varied
 * @param size value of what is varied: a number, or requests per second
 * @param corePercent processor time of an instance, in percent of one core
 * @param bytesPerSecond bytes that an instance sends to and receives from others, per second
 * @param heapMegabytes heap in use of an instance, in units of 1,000,000 bytes
 * @param residentMegabytes resident memory of an instance, in the same units
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
  private static final double BYTES_PER_MEGABYTE = 1e6;

  /** Checks that the series is given. */
  public CostRow {
    requireNonNull(series, "series");
  }

  /** Returns a row without latencies. */
  static CostRow of(String series, long size, ResourceSample.Usage usage) {
    return new CostRow(
        series,
        size,
        usage.cores() * PERCENT,
        usage.bytesPerSecond(),
        usage.heapBytes() / BYTES_PER_MEGABYTE,
        usage.residentBytes() / BYTES_PER_MEGABYTE,
        0,
        0);
  }

  CostRow withLatency(double addedMedianMillis, double addedTailMillis) {
    return new CostRow(
        series,
        size,
        corePercent,
        bytesPerSecond,
        heapMegabytes,
        residentMegabytes,
        addedMedianMillis,
        addedTailMillis);
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
