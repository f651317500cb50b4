package org.snipewick.endpoint.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.snipewick.endpoint.StreamEvent;

/**
 * Incremental parser of server-sent events. Comments and all fields but {@code data} are ignored.
 * Not thread-safe.
 */
final class EventParser {
  private static final String DATA_FIELD = "data:";

  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private final int maxEventBytes;
  private StringBuilder data;

  private EventParser(int maxEventBytes) {
    this.maxEventBytes = maxEventBytes;
  }

  /** Returns a parser whose events may have up to the given size in bytes. */
  static EventParser of(int maxEventBytes) {
    return new EventParser(maxEventBytes);
  }

  /** Parses the next bytes of the stream and returns the events that they complete. */
  List<StreamEvent> feed(byte[] bytes) {
    List<StreamEvent> events = new ArrayList<>();
    for (byte next : bytes) {
      if (next == '\n') {
        endLine(events);
      } else if (next != '\r') {
        line.write(next);
      }
    }
    return events;
  }

  /** Returns whether the unfinished event exceeds the size limit. */
  boolean exceedsLimit() {
    return line.size() > maxEventBytes || (data != null && data.length() > maxEventBytes);
  }

  private void endLine(List<StreamEvent> events) {
    String text = line.toString(StandardCharsets.UTF_8);
    line.reset();
    if (text.isEmpty()) {
      endEvent(events);
    } else if (text.startsWith(DATA_FIELD)) {
      addData(text.substring(DATA_FIELD.length()));
    }
  }

  private void addData(String value) {
    String trimmed = value.startsWith(" ") ? value.substring(1) : value;
    if (data == null) {
      data = new StringBuilder(trimmed);
    } else {
      data.append('\n').append(trimmed);
    }
  }

  private void endEvent(List<StreamEvent> events) {
    if (data != null) {
      events.add(StreamEvent.of(data.toString()));
      data = null;
    }
  }
}
