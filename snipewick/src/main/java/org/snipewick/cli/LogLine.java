package org.snipewick.cli;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.DateTimeException;
import java.time.OffsetDateTime;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.snipewick.event.EventType;

/**
 * Line of a process's structured log that holds an event.
 *
 * @param time wall-clock time of the process
 * @param process name of the instance
 * @param event number of the event type
 * @param title title of the event type
 * @param subject identifier of what the event concerns; empty if it concerns the process
 * @param fields further fields by name
 */
record LogLine(
    OffsetDateTime time,
    String process,
    int event,
    String title,
    String subject,
    Map<String, String> fields) {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Set<String> COMMON_FIELDS =
      Set.of(
          "@timestamp",
          "@version",
          "message",
          "logger_name",
          "thread_name",
          "level",
          "level_value",
          "event",
          "process",
          "subject");

  LogLine {
    requireNonNull(time, "time");
    requireNonNull(process, "process");
    requireNonNull(title, "title");
    requireNonNull(subject, "subject");
    fields = new TreeMap<>(fields);
  }

  /** Parses a line; returns empty if it holds no event, such as the ready line. */
  static Optional<LogLine> parse(String text) {
    try {
      JsonNode line = MAPPER.readTree(text);
      if (!line.path("event").isTextual()) {
        return Optional.empty();
      }
      Map<String, String> fields = new TreeMap<>();
      line.fields()
          .forEachRemaining(
              field -> {
                if (!COMMON_FIELDS.contains(field.getKey())) {
                  fields.put(field.getKey(), field.getValue().asText());
                }
              });
      return Optional.of(
          new LogLine(
              OffsetDateTime.parse(line.path("@timestamp").asText()),
              line.path("process").asText(),
              Integer.parseInt(line.path("event").asText()),
              line.path("message").asText(),
              line.path("subject").asText(),
              fields));
    } catch (JsonProcessingException | DateTimeException | NumberFormatException notAnEvent) {
      return Optional.empty();
    }
  }

  /** Returns whether the line concerns a request rather than the process and its view of others. */
  boolean isAboutRequest() {
    return EventType.isAboutRequest(event);
  }

  /** Returns whether the subject or a field equals a request identifier or idempotency key. */
  boolean mentions(String text) {
    return subject.equals(text) || fields.containsValue(text);
  }
}
