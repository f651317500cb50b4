package org.snipewick.idempotency;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * A complete answer that is kept for repeats.
 *
 * @param status HTTP status
 * @param contentType media type of the body
 * @param body body as text; for a streamed answer all its events
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record StoredAnswer(int status, String contentType, String body) {

  /** Checks the parts. */
  public StoredAnswer {
    requireNonNull(contentType, "contentType");
    requireNonNull(body, "body");
  }
}
