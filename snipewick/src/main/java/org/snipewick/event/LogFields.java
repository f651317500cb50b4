package org.snipewick.event;

import java.util.ArrayList;
import java.util.List;
import org.slf4j.MDC;

/**
 * Fields of one structured log line. They are added to all lines that the current thread writes,
 * until closed.
 */
final class LogFields implements AutoCloseable {
  static final String EVENT = "event";
  static final String PROCESS = "process";
  static final String SUBJECT = "subject";

  private final List<String> names = new ArrayList<>();

  private LogFields() {}

  static LogFields of(Event event) {
    LogFields fields = new LogFields();
    fields.put(EVENT, event.type().number());
    fields.put(PROCESS, event.process());
    if (!event.subject().isEmpty()) {
      fields.put(SUBJECT, event.subject());
    }
    event.details().forEach(fields::put);
    return fields;
  }

  private void put(String name, Object value) {
    MDC.put(name, value.toString());
    names.add(name);
  }

  @Override
  public void close() {
    names.forEach(MDC::remove);
  }
}
