package org.snipewick.endpoint;

import static java.util.Objects.requireNonNull;

/**
 * Event of a stream.
 *
 * @param data payload; {@value #DONE} for the terminator
 */
public record StreamEvent(String data) {

  /** Payload of the terminator, the event that ends a complete stream. */
  public static final String DONE = "[DONE]";

  /** Checks that the payload is not null. */
  public StreamEvent {
    requireNonNull(data, "data");
  }

  /**
   * Returns an event with the given payload.
   *
   * @param data payload
   * @return event
   */
  public static StreamEvent of(String data) {
    return new StreamEvent(data);
  }

  /**
   * Returns whether this event is the terminator of the stream.
   *
   * @return whether no event follows
   */
  public boolean isDone() {
    return data.equals(DONE);
  }

  /**
   * Returns the event in the format of server-sent events.
   *
   * @return data lines followed by an empty line
   */
  public String text() {
    return "data: " + data.replace("\n", "\ndata: ") + "\n\n";
  }
}
