package org.snipewick.relay;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Holds back the beginning of an event until all of it has arrived, and remembers the last whole
 * event, so that a stream that breaks off can be continued behind it.
 */
final class EventSplitter {
  private static final String ID_FIELD = "id:";

  private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
  private Optional<String> lastId = Optional.empty();
  private byte previous;

  /** Takes bytes and returns those that belong to whole events. */
  byte[] feed(byte[] bytes) {
    ByteArrayOutputStream whole = new ByteArrayOutputStream(bytes.length);
    for (byte next : bytes) {
      if (next == '\r') {
        pending.write(next);
        continue;
      }
      pending.write(next);
      if (next == '\n' && previous == '\n') {
        rememberId();
        whole.writeBytes(pending.toByteArray());
        pending.reset();
      }
      previous = next;
    }
    return whole.toByteArray();
  }

  /** Returns the identifier of the last whole event. */
  Optional<String> lastId() {
    return lastId;
  }

  /** Tells whether an event has begun that is not whole. */
  boolean isInsideEvent() {
    return pending.size() > 0;
  }

  /** Drops the beginning of an event that another endpoint will send again. */
  void dropPending() {
    pending.reset();
    previous = 0;
  }

  private void rememberId() {
    pending
        .toString(StandardCharsets.UTF_8)
        .lines()
        .filter(line -> line.startsWith(ID_FIELD))
        .map(line -> line.substring(ID_FIELD.length()).trim())
        .reduce((first, second) -> second)
        .ifPresent(id -> lastId = Optional.of(id));
  }
}
