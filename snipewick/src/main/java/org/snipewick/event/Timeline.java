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
 * Event log that keeps the latest events in memory and writes them to the program's log. Lines
 * about requests have a budget, failures one of their own; what exceeds it is counted and dropped.
 */
public final class Timeline implements EventLog {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final long MICROS_PER_MILLI = 1_000L;
  private static final long NANOS_PER_MICRO = 1_000L;

  /** Three times five lines a request at the 15 requests a second of a node of the design size. */
  private static final long REQUEST_LINES_PER_SECOND = 225;

  private static final long REQUEST_LINES_BURST = 10 * REQUEST_LINES_PER_SECOND;

  private final String process;
  private final TimerService timer;
  private final AtomicReferenceArray<Event> ring;
  private final AtomicLong next = new AtomicLong();
  private final long originMicros;
  private final LineBudget requestLines;
  private final LineBudget failureLines;
  private final LongAdder suppressed = new LongAdder();

  private Timeline(String process, TimerService timer, int capacity) {
    this.process = process;
    this.timer = timer;
    this.ring = new AtomicReferenceArray<>(capacity);
    this.requestLines =
        LineBudget.of(REQUEST_LINES_PER_SECOND, REQUEST_LINES_BURST, timer.nanoTime());
    this.failureLines =
        LineBudget.of(REQUEST_LINES_PER_SECOND, REQUEST_LINES_BURST, timer.nanoTime());
    this.originMicros = timer.epochMillis() * MICROS_PER_MILLI - timer.nanoTime() / NANOS_PER_MICRO;
  }

  /**
   * Creates an empty time line.
   *
   * @param process name of the instance
   * @param timer source of time
   * @param capacity events kept, at least 1; older ones are dropped
   * @return time line
   */
  public static Timeline of(String process, TimerService timer, int capacity) {
    requireNonNull(process, "process");
    requireNonNull(timer, "timer");
    return new Timeline(process, timer, capacity);
  }

  @Override
  public void record(EventType type, String subject, Map<String, Object> details) {
    long nanos = timer.nanoTime();
    long micros = originMicros + nanos / NANOS_PER_MICRO;
    Event event = new Event(type, micros, process, subject, details);
    ring.set((int) (next.getAndIncrement() % ring.length()), event);
    if (!LOGGER.at(type.level()).isEnabled()) {
      return;
    }
    if (mayWrite(type, nanos)) {
      write(event);
    } else {
      suppressed.increment();
    }
  }

  private boolean mayWrite(EventType type, long nanos) {
    if (!type.isAboutRequest()) {
      return true;
    }
    return (type == EventType.REQUEST_FAILED ? failureLines : requestLines).tryTake(nanos);
  }

  private static void write(Event event) {
    try (LineFields fields = LineFields.of(event)) {
      LOGGER.at(event.type().level()).log("%s", event.type().title());
    }
  }

  /**
   * Returns how many lines were not written as the budget was spent.
   *
   * @return lines since the start
   */
  public long suppressedLines() {
    return suppressed.sum();
  }

  /**
   * Lists the kept events in order of time.
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
   * Lists the kept events about something, in order of time.
   *
   * @param text a subject, or a value in the details such as an idempotency key
   * @return events, oldest first
   */
  public List<Event> about(String text) {
    requireNonNull(text, "text");
    return all().stream().filter(event -> event.isAbout(text)).toList();
  }
}
