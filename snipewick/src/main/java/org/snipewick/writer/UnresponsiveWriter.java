package org.snipewick.writer;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicReference;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.identity.InstanceId;
import org.snipewick.time.TimerService;

/**
 * Records the latest writer that did not answer. Writes bypass it for {@link #AVOIDANCE_PERIOD}.
 * Thread-safe.
 */
final class UnresponsiveWriter {
  private static final Duration AVOIDANCE_PERIOD = Duration.ofSeconds(5);

  private final AtomicReference<Avoidance> latest = new AtomicReference<>();
  private final TimerService timer;
  private final EventLog events;

  UnresponsiveWriter(TimerService timer, EventLog events) {
    this.timer = requireNonNull(timer, "timer");
    this.events = requireNonNull(events, "events");
  }

  private record Avoidance(InstanceId writer, long endNanos) {}

  /** Records that a writer did not answer; writes an event unless it is already avoided. */
  void recordNoAnswer(InstanceId writer) {
    boolean alreadyAvoided = isAvoided(writer);
    latest.set(new Avoidance(writer, timer.nanoTime() + AVOIDANCE_PERIOD.toNanos()));
    if (!alreadyAvoided) {
      events.record(EventType.WRITER_SILENT, writer.value());
    }
  }

  /** Returns whether the latest writer that did not answer is this one and is still avoided. */
  boolean isAvoided(InstanceId writer) {
    Avoidance avoidance = latest.get();
    return avoidance != null
        && avoidance.writer().equals(writer)
        && timer.nanoTime() - avoidance.endNanos() < 0;
  }
}
