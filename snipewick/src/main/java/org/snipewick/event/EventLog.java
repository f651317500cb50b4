package org.snipewick.event;

import java.util.Map;

/** Records events: to the log, and to the time line that is kept in memory for a while. */
@FunctionalInterface
public interface EventLog {

  /**
   * Records an event at the current time; never blocks and never fails.
   *
   * @param type kind of event
   * @param subject what it is about; empty if about the process
   * @param details further values by name
   */
  void record(EventType type, String subject, Map<String, Object> details);

  /**
   * Records an event without details.
   *
   * @param type kind of event
   * @param subject what it is about; empty if about the process
   */
  default void record(EventType type, String subject) {
    record(type, subject, Map.of());
  }

  /**
   * Returns a log that drops everything.
   *
   * @return event log for tests and measurements
   */
  static EventLog none() {
    return (type, subject, details) -> {};
  }
}
