package org.snipewick.event;

import java.util.Map;

/** Records events in the log and in a bounded timeline in memory. */
@FunctionalInterface
public interface EventLog {

  /**
   * Records an event at the current time. Never blocks and never fails.
   *
   * @param type kind of event
   * @param subject identifier of what it concerns; empty if it concerns the process
   * @param details further values by name
   */
  void record(EventType type, String subject, Map<String, Object> details);

  /**
   * Records an event without details, as {@link #record(EventType, String, Map)} does.
   *
   * @param type kind of event
   * @param subject identifier of what it concerns; empty if it concerns the process
   */
  default void record(EventType type, String subject) {
    record(type, subject, Map.of());
  }

  /**
   * Returns a log that discards all events.
   *
   * @return event log for tests and measurements
   */
  static EventLog none() {
    return (type, subject, details) -> {};
  }
}
