package org.snipewick.endpoint;

import static java.util.Objects.requireNonNull;

/**
 * Response of an endpoint that was received in full, not as a stream.
 *
 * @param status HTTP status code
 * @param contentType media type of the body
 * @param body body; it is not copied and must not be modified
 */
@SuppressWarnings("ArrayRecordComponent")
public record EndpointResponse(int status, String contentType, byte[] body) {

  /** Checks that no component is null. */
  public EndpointResponse {
    requireNonNull(contentType, "contentType");
    requireNonNull(body, "body");
  }

  /**
   * Returns whether the endpoint reports success.
   *
   * @return whether the status is 200 to 299
   */
  public boolean isSuccess() {
    return status >= 200 && status < 300;
  }
}
