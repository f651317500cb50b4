package org.snipewick.entry;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.Map;
import java.util.function.LongSupplier;
import org.snipewick.event.EventType;
import org.snipewick.event.Timeline;

/** Tells in the log, from time to time, how many of its lines were left out. */
final class DroppedLines {
  /** Seldom enough that these lines never matter, and often enough to date a gap. */
  private static final Duration PERIOD = Duration.ofSeconds(10);

  private final Timeline timeline;
  private final LongSupplier unread;
  private long toldUnread;
  private long toldSuppressed;

  private DroppedLines(Timeline timeline, LongSupplier unread) {
    this.timeline = timeline;
    this.unread = unread;
  }

  /**
   * Starts to tell.
   *
   * @param foundation timer, time line and metrics of the process
   * @param unread lines that were dropped as their reader was too slow
   */
  static void watch(Foundation foundation, LongSupplier unread) {
    DroppedLines lines = new DroppedLines(foundation.timeline(), unread);
    MetricRegistry metrics = foundation.metrics();
    metrics.gauge("log.lines_unread", () -> (Gauge<Long>) unread::getAsLong);
    metrics.gauge(
        "log.lines_over_budget", () -> (Gauge<Long>) foundation.timeline()::suppressedLines);
    var unused = foundation.timer().every(PERIOD, lines::tell);
  }

  private void tell() {
    long nowUnread = unread.getAsLong();
    long nowSuppressed = timeline.suppressedLines();
    if (nowUnread != toldUnread || nowSuppressed != toldSuppressed) {
      timeline.record(
          EventType.LOG_LINES_DROPPED,
          "",
          Map.of("unread", nowUnread - toldUnread, "overBudget", nowSuppressed - toldSuppressed));
      toldUnread = nowUnread;
      toldSuppressed = nowSuppressed;
    }
  }
}
