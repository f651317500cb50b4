package org.snipewick.entry;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.Map;
import java.util.function.LongSupplier;
import org.snipewick.event.EventType;
import org.snipewick.event.Timeline;

/** Records periodically how many log lines were dropped since the previous report. */
final class DroppedLogLinesReporter {
  /** Adds few lines to the log, and dates a gap in it to within this time. */
  private static final Duration REPORT_PERIOD = Duration.ofSeconds(10);

  private final Timeline timeline;
  private final LongSupplier bufferDrops;
  private long reportedBufferDrops;
  private long reportedSuppressed;

  private DroppedLogLinesReporter(Timeline timeline, LongSupplier bufferDrops) {
    this.timeline = timeline;
    this.bufferDrops = bufferDrops;
  }

  /**
   * Starts the periodic report and registers the numbers of dropped lines as metrics.
   *
   * @param components timer, timeline and metrics of the process
   * @param bufferDrops number of lines dropped since the start because the log buffer was full
   */
  static void start(SharedComponents components, LongSupplier bufferDrops) {
    DroppedLogLinesReporter reporter =
        new DroppedLogLinesReporter(components.timeline(), bufferDrops);
    MetricRegistry metrics = components.metrics();
    metrics.gauge("log.lines_unread", () -> (Gauge<Long>) bufferDrops::getAsLong);
    metrics.gauge(
        "log.lines_over_budget", () -> (Gauge<Long>) components.timeline()::suppressedLines);
    var unused = components.timer().every(REPORT_PERIOD, reporter::report);
  }

  private void report() {
    long currentBufferDrops = bufferDrops.getAsLong();
    long currentSuppressed = timeline.suppressedLines();
    if (currentBufferDrops != reportedBufferDrops || currentSuppressed != reportedSuppressed) {
      timeline.record(
          EventType.LOG_LINES_DROPPED,
          "",
          Map.of(
              "unread",
              currentBufferDrops - reportedBufferDrops,
              "overBudget",
              currentSuppressed - reportedSuppressed));
      reportedBufferDrops = currentBufferDrops;
      reportedSuppressed = currentSuppressed;
    }
  }
}
