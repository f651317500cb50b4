package org.snipewick.event;

import static java.util.Objects.requireNonNull;

import java.util.Map;

/**
 * Event that occurred in one process.
 *
 * @param type kind of event
 * @param epochMicros wall-clock time, in microseconds since the Unix epoch
 * @param process name of the instance whose process recorded it
 * @param subject identifier of what it concerns: a request, pool, member or idempotency key; empty
 *     if it concerns the process
 * @param details further values by name; copied
 */
public record Event(
    EventType type, long epochMicros, String process, String subject, Map<String, Object> details) {

  /** Checks the components and copies the details. */
  public Event {
    requireNonNull(type, "type");
    requireNonNull(process, "process");
    requireNonNull(subject, "subject");
    details = Map.copyOf(details);
  }

  /**
   * Returns whether this event concerns a subject.
   *
   * @param text a subject, or a value of a detail such as an idempotency key
   * @return whether the subject or the text of a detail's value equals the text
   */
  public boolean isAbout(String text) {
    return subject.equals(text)
        || details.values().stream().anyMatch(value -> text.equals(value.toString()));
  }
}
