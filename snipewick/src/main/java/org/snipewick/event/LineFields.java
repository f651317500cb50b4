package org.snipewick.event;

import java.util.ArrayList;
import java.util.List;
import org.slf4j.MDC;

/** Fields of one structured log line, in force on the current thread until closed. */
final class LineFields implements AutoCloseable {
  static final String EVENT = "event";
  static final String PROCESS = "process";
  static final String SUBJECT = "subject";

  private final List<String> names = new ArrayList<>();

  private LineFields() {}

  static LineFields of(Event event) {
    LineFields fields = new LineFields();
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
