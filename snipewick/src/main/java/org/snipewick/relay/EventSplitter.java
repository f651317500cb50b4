package org.snipewick.relay;

import static java.util.Objects.requireNonNull;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;
import org.snipewick.memory.MemoryAccount;

/**
 * Splits a stream of server-sent events: buffers an incomplete event until the rest of it arrives,
 * and keeps the identifier of the last complete one, after which a broken stream can be resumed.
 */
final class EventSplitter {
  private static final String ID_FIELD = "id:";

  /** An endpoint whose events never end would otherwise fill the memory of the instance. */
  static final int MAX_EVENT_BYTES = 1024 * 1024;

  /** Size of an event from which its buffer is not used again, as a buffer never shrinks. */
  private static final int MAX_REUSED_BYTES = 8 * 1024;

  private final MemoryAccount.Holder holder;
  private ByteArrayOutputStream pending = new ByteArrayOutputStream();
  private Optional<String> lastId = Optional.empty();
  private final EventBoundary boundary = new EventBoundary();

  /**
   * Creates a splitter without pending bytes.
   *
   * @param holder holder of the memory account for the bytes of incomplete events
   */
  EventSplitter(MemoryAccount.Holder holder) {
    this.holder = requireNonNull(holder, "holder");
  }

  /**
   * Adds bytes and returns all bytes of the events that are now complete.
   *
   * @throws FailureException if an event is larger than {@link #MAX_EVENT_BYTES}, or the memory
   *     account does not permit to keep it
   */
  byte[] feed(byte[] bytes) {
    ByteArrayOutputStream complete = new ByteArrayOutputStream(bytes.length);
    for (byte next : bytes) {
      pending.write(next);
      if (boundary.accept(next)) {
        updateLastId();
        complete.writeBytes(pending.toByteArray());
        discard();
      }
    }
    if (pending.size() > MAX_EVENT_BYTES) {
      throw cannotKeep("event is larger than " + MAX_EVENT_BYTES + " bytes");
    }
    if (isInsideEvent() && !holder.tryAdd(pending.size() - holder.bytes())) {
      throw cannotKeep("event uses most of the memory for bodies and events");
    }
    return complete.toByteArray();
  }

  /** Returns whether the incomplete event lost its memory and is to be discarded. */
  boolean isEvicted() {
    return holder.isEvicted();
  }

  /** Returns why a stream is broken off whose incomplete event has lost its memory. */
  static FailureException evicted() {
    return cannotKeep("event used most of the memory for bodies and events");
  }

  private static FailureException cannotKeep(String reason) {
    return Failure.unknown(FailureType.ANSWER_INCOMPLETE, reason).toException();
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
    discard();
    boundary.reset();
  }

  /** Discards all bytes; no further ones may follow. */
  void close() {
    discard();
    holder.close();
  }

  private void discard() {
    if (pending.size() > MAX_REUSED_BYTES) {
      pending = new ByteArrayOutputStream();
    } else {
      pending.reset();
    }
    holder.clear();
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
