package org.snipewick.event;

import static java.util.Objects.requireNonNull;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.concurrent.atomic.LongAdder;
import org.snipewick.time.TimerService;

/**
 * Event log that keeps the latest events in memory and writes them to the program's log. Log lines
 * about requests are rate-limited, those about failed requests separately from the others; lines
 * over the limit are dropped and counted. Thread-safe.
 */
public final class Timeline implements EventLog {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final long MICROS_PER_MILLI = 1_000L;
  private static final long NANOS_PER_MICRO = 1_000L;

  /**
   * Rate limit of the lines about failed requests and, separately, of the other lines about
   * requests: three times the lines of an instance at the design size, which has 15 requests/s with
   * 5 lines each.
   */
  private static final long REQUEST_LINES_PER_SECOND = 225;

  private static final long MAX_REQUEST_LINES_BURST = 10 * REQUEST_LINES_PER_SECOND;

  private final String process;
  private final TimerService timer;
  private final AtomicReferenceArray<Event> ring;
  private final AtomicLong nextIndex = new AtomicLong();
  private final long epochOffsetMicros;
  private final LogLineRateLimiter requestLineLimiter;
  private final LogLineRateLimiter failureLineLimiter;
  private final LongAdder suppressedLineCount = new LongAdder();

  private Timeline(String process, TimerService timer, int maxEvents) {
    this.process = process;
    this.timer = timer;
    this.ring = new AtomicReferenceArray<>(maxEvents);
    this.requestLineLimiter =
        LogLineRateLimiter.of(REQUEST_LINES_PER_SECOND, MAX_REQUEST_LINES_BURST, timer.nanoTime());
    this.failureLineLimiter =
        LogLineRateLimiter.of(REQUEST_LINES_PER_SECOND, MAX_REQUEST_LINES_BURST, timer.nanoTime());
    this.epochOffsetMicros =
        timer.epochMillis() * MICROS_PER_MILLI - timer.nanoTime() / NANOS_PER_MICRO;
  }

  /**
   * Creates an empty timeline.
   *
   * @param process name of the instance
   * @param timer source of time
   * @param maxEvents number of events that are kept, at least 1; the oldest ones are overwritten
   * @return timeline
   */
  public static Timeline of(String process, TimerService timer, int maxEvents) {
    requireNonNull(process, "process");
    requireNonNull(timer, "timer");
    return new Timeline(process, timer, maxEvents);
  }

  @Override
  public void record(EventType type, String subject, Map<String, Object> details) {
    long nowNanos = timer.nanoTime();
    long epochMicros = epochOffsetMicros + nowNanos / NANOS_PER_MICRO;
    Event event = new Event(type, epochMicros, process, subject, details);
    ring.set((int) (nextIndex.getAndIncrement() % ring.length()), event);
    if (!LOGGER.at(type.level()).isEnabled()) {
      return;
    }
    if (tryAcquireLine(type, nowNanos)) {
      write(event);
    } else {
      suppressedLineCount.increment();
    }
  }

  private boolean tryAcquireLine(EventType type, long nowNanos) {
    if (!type.isAboutRequest()) {
      return true;
    }
    return (type == EventType.REQUEST_FAILED ? failureLineLimiter : requestLineLimiter)
        .tryAcquire(nowNanos);
  }

  private static void write(Event event) {
    try (LogFields fields = LogFields.of(event)) {
      LOGGER.at(event.type().level()).log("%s", event.type().title());
    }
  }

  /**
   * Returns the number of lines that were dropped because of the rate limits.
   *
   * @return number of lines since the timeline was created
   */
  public long suppressedLines() {
    return suppressedLineCount.sum();
  }

  /**
   * Returns the kept events in order of time.
   *
   * @return events, oldest first
   */
  public List<Event> all() {
    List<Event> events = new ArrayList<>();
    for (int index = 0; index < ring.length(); index++) {
      Event event = ring.get(index);
      if (event != null) {
        events.add(event);
      }
    }
    events.sort(Comparator.comparingLong(Event::epochMicros));
    return events;
  }

  /**
   * Returns the kept events about a subject, in order of time.
   *
   * @param text a subject, or a value of a detail such as an idempotency key
   * @return events, oldest first
   */
  public List<Event> about(String text) {
    requireNonNull(text, "text");
    return all().stream().filter(event -> event.isAbout(text)).toList();
  }
}
