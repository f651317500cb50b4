package org.snipewick.endpoint;

import static java.util.Objects.requireNonNull;

/**
 * Answer of an endpoint that arrived in full length.
 *
 * @param status HTTP status
 * @param contentType media type of the body
 * @param body body; not copied and not to be changed
 */
@SuppressWarnings("ArrayRecordComponent")
public record EndpointAnswer(int status, String contentType, byte[] body) {

  /** Checks the parts. */
  public EndpointAnswer {
    requireNonNull(contentType, "contentType");
    requireNonNull(body, "body");
  }

  /**
   * Tells whether the endpoint reports success.
   *
   * @return whether the status is 200 to 299
   */
  public boolean isSuccess() {
    return status >= 200 && status < 300;
  }
}
