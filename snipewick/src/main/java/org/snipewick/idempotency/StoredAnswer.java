package org.snipewick.idempotency;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * A complete answer, stored for duplicate requests.
 *
 * @param status HTTP status
 * @param contentType media type of the body
 * @param body body as text; all events of a streamed answer
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record StoredAnswer(int status, String contentType, String body) {

  /** Rejects null components. */
  public StoredAnswer {
    requireNonNull(contentType, "contentType");
    requireNonNull(body, "body");
  }
}
