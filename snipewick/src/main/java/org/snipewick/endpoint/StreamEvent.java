package org.snipewick.endpoint;

import static java.util.Objects.requireNonNull;

/**
 * One event of a streamed answer.
 *
 * @param data payload, {@value #DONE} for the terminator
 */
public record StreamEvent(String data) {

  /** Payload of the event that ends a complete stream. */
  public static final String DONE = "[DONE]";

  /** Checks the payload. */
  public StreamEvent {
    requireNonNull(data, "data");
  }

  /**
   * Returns an event.
   *
   * @param data payload
   * @return event
   */
  public static StreamEvent of(String data) {
    return new StreamEvent(data);
  }

  /**
   * Tells whether this is the terminator of the stream.
   *
   * @return whether nothing follows
   */
  public boolean isDone() {
    return data.equals(DONE);
  }

  /**
   * Returns the event as it is sent.
   *
   * @return text of a server-sent event with its empty line
   */
  public String text() {
    return "data: " + data.replace("\n", "\ndata: ") + "\n\n";
  }
}
