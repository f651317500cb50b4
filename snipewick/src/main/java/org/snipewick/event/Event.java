package org.snipewick.event;

import static java.util.Objects.requireNonNull;

import java.util.Map;

/**
 * An event as it happened on one process.
 *
 * @param type kind of event
 * @param epochMicros wall clock, in microseconds since the Unix epoch
 * @param process name of the instance
 * @param subject what it is about: a request, pool, member or key; empty if about the process
 * @param details further values by name
 */
public record Event(
    EventType type, long epochMicros, String process, String subject, Map<String, Object> details) {

  /** Checks and copies the parts. */
  public Event {
    requireNonNull(type, "type");
    requireNonNull(process, "process");
    requireNonNull(subject, "subject");
    details = Map.copyOf(details);
  }

  /**
   * Tells whether this event is about something.
   *
   * @param text a subject, or a value in the details such as an idempotency key
   * @return whether the subject or a detail equals the text
   */
  public boolean isAbout(String text) {
    return subject.equals(text)
        || details.values().stream().anyMatch(value -> text.equals(value.toString()));
  }
}
