package org.snipewick.relay;

import static java.util.Objects.requireNonNull;

import io.activej.http.HttpResponse;
import java.util.Optional;
import org.snipewick.placement.ReportedLoad;

/**
 * Beginning of an endpoint's answer.
 *
 * @param status status code
 * @param headers header fields
 */
record EndpointHead(int status, Headers headers) {
  private static final int MISDIRECTED = 421;
  private static final int FIRST_SUCCESS = 200;
  private static final int FIRST_REDIRECTION = 300;
  private static final int FIRST_SERVER_ERROR = 500;
  private static final int LOAD_PARTS = 3;
  private static final String CONTENT_ENCODING = "Content-Encoding";

  EndpointHead {
    requireNonNull(headers, "headers");
  }

  static EndpointHead of(HttpResponse response) {
    return new EndpointHead(response.getCode(), RelayResponses.headersOf(response));
  }

  boolean isSuccess() {
    return status >= FIRST_SUCCESS && status < FIRST_REDIRECTION;
  }

  boolean isServerError() {
    return status >= FIRST_SERVER_ERROR;
  }

  boolean isMisdirected() {
    return status == MISDIRECTED;
  }

  /** Tells whether the endpoint states that it did not run the request. */
  boolean wasNotRun(HeaderNames names) {
    return isMisdirected() || headers.has(names.notRun());
  }

  /** Finds why this cannot be the endpoint's answer to a request; empty if it can. */
  Optional<String> fault(String requestId, HeaderNames names) {
    Optional<String> echoed = headers.first(names.requestId());
    if (echoed.isPresent() && !echoed.get().equals(requestId)) {
      return Optional.of("answer belongs to request " + echoed.get());
    }
    if (isSuccess() && !headers.has(names.signature())) {
      return Optional.of("answer is not signed");
    }
    return isSuccess() && headers.has(CONTENT_ENCODING)
        ? Optional.of("answer is encoded though nobody asked for it")
        : Optional.empty();
  }

  /** Reads the load that the endpoint tells; empty if it tells none or it cannot be read. */
  Optional<ReportedLoad> load(HeaderNames names) {
    return headers.first(names.load()).flatMap(EndpointHead::parseLoad);
  }

  private static Optional<ReportedLoad> parseLoad(String text) {
    String[] parts = text.split(",");
    if (parts.length != LOAD_PARTS) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new ReportedLoad(
              Integer.parseInt(parts[0].trim()),
              Integer.parseInt(parts[1].trim()),
              Integer.parseInt(parts[2].trim())));
    } catch (IllegalArgumentException malformed) {
      return Optional.empty();
    }
  }
}
