package org.snipewick.relay;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits a stream of server-sent events: buffers an incomplete event until the rest of it arrives,
 * and keeps the identifier of the last complete one, after which a broken stream can be resumed.
 */
final class EventSplitter {
  private static final String ID_FIELD = "id:";

  /** An endpoint whose events never end would otherwise fill the memory of the instance. */
  static final int MAX_EVENT_BYTES = 1024 * 1024;

  private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
  private Optional<String> lastId = Optional.empty();
  private final EventBoundary boundary = new EventBoundary();

  /**
   * Adds bytes and returns all bytes of the events that are now complete.
   *
   * @throws IllegalStateException if an event is larger than {@link #MAX_EVENT_BYTES}
   */
  byte[] feed(byte[] bytes) {
    ByteArrayOutputStream complete = new ByteArrayOutputStream(bytes.length);
    for (byte next : bytes) {
      pending.write(next);
      if (boundary.accept(next)) {
        updateLastId();
        complete.writeBytes(pending.toByteArray());
        pending.reset();
      }
    }
    if (pending.size() > MAX_EVENT_BYTES) {
      throw new IllegalStateException("event is larger than " + MAX_EVENT_BYTES + " bytes");
    }
    return complete.toByteArray();
  }

  /** Returns the identifier of the last complete event that had one; empty if none had. */
  Optional<String> lastId() {
    return lastId;
  }

  /** Returns whether the bytes so far end with an incomplete event. */
  boolean isInsideEvent() {
    return pending.size() > 0;
  }

  /** Discards an incomplete event, which another endpoint will send again. */
  void dropPending() {
    pending.reset();
    boundary.reset();
  }

  private void updateLastId() {
    pending
        .toString(StandardCharsets.UTF_8)
        .lines()
        .filter(line -> line.startsWith(ID_FIELD))
        .map(line -> line.substring(ID_FIELD.length()).trim())
        .reduce((first, second) -> second)
        .ifPresent(id -> lastId = Optional.of(id));
  }
}
