package org.snipewick.endpoint.http;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;

/** Names of the HTTP headers between entry instances and endpoints. */
final class EndpointHeaders {
  /** Identifier of the dispatch, in requests and responses. */
  static final HttpHeader REQUEST_ID = HttpHeaders.of("X-Request-Id");

  /** Idempotency key of the caller, in requests to engines. */
  static final HttpHeader CLIENT_KEY = HttpHeaders.of("X-Client-Key");

  /** Set to true in the response of an endpoint that rejected a request before running it. */
  static final HttpHeader NOT_RUN = HttpHeaders.of("X-Not-Run");

  /** Idempotency key of the caller, in requests to plain services. */
  static final HttpHeader IDEMPOTENCY_KEY = HttpHeaders.of("Idempotency-Key");

  private EndpointHeaders() {}
}
