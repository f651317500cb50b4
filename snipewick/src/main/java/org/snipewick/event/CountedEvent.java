package org.snipewick.event;

import static java.util.Objects.requireNonNull;

import com.codahale.metrics.Counter;
import java.time.Duration;
import java.util.Map;
import org.snipewick.time.TimerService;

/**
 * Event that a crowd of callers can cause many times a second: counted, and logged rarely. Not
 * thread-safe.
 */
public final class CountedEvent {
  private static final long LOG_PERIOD_NANOS = Duration.ofSeconds(10).toNanos();

  private final EventType type;
  private final EventLog events;
  private final TimerService timer;
  private final Counter counter;
  private long countSinceLogged;
  private long loggedAtNanos;

  /**
   * Creates an event that has not occurred.
   *
   * @param type type of the log lines, whose field "count" has the occurrences since the last one
   * @param events log
   * @param timer source of time
   * @param counter counter of all occurrences
   */
  public CountedEvent(EventType type, EventLog events, TimerService timer, Counter counter) {
    this.type = requireNonNull(type, "type");
    this.events = requireNonNull(events, "events");
    this.timer = requireNonNull(timer, "timer");
    this.counter = requireNonNull(counter, "counter");
    loggedAtNanos = timer.nanoTime() - LOG_PERIOD_NANOS;
  }

  /** Counts one occurrence, and logs the occurrences since the last log line if it is due. */
  public void record() {
    counter.inc();
    countSinceLogged++;
    long nowNanos = timer.nanoTime();
    if (nowNanos - loggedAtNanos >= LOG_PERIOD_NANOS) {
      events.record(type, "", Map.of("count", countSinceLogged));
      loggedAtNanos = nowNanos;
      countSinceLogged = 0;
    }
  }
}
