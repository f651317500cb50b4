package org.snipewick.writer;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicReference;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.identity.InstanceId;
import org.snipewick.time.TimerService;

/** Remembers the writer that did not answer, which is not used for some time. */
final class SilentWriter {
  private static final Duration AVOIDANCE = Duration.ofSeconds(5);

  private final AtomicReference<Silence> latest = new AtomicReference<>();
  private final TimerService timer;
  private final EventLog events;

  SilentWriter(TimerService timer, EventLog events) {
    this.timer = requireNonNull(timer, "timer");
    this.events = requireNonNull(events, "events");
  }

  private record Silence(InstanceId writer, long endNanos) {}

  /** Notes that a writer did not answer. */
  void record(InstanceId writer) {
    boolean known = isAvoided(writer);
    latest.set(new Silence(writer, timer.nanoTime() + AVOIDANCE.toNanos()));
    if (!known) {
      events.record(EventType.WRITER_SILENT, writer.value());
    }
  }

  /** Tells whether a writer did not answer a short time ago. */
  boolean isAvoided(InstanceId writer) {
    Silence silence = latest.get();
    return silence != null
        && silence.writer().equals(writer)
        && timer.nanoTime() - silence.endNanos() < 0;
  }
}
