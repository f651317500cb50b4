package org.snipewick.endpoint.http;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;

/** Names of the HTTP headers between entry instances and endpoints. */
final class EndpointHeaders {
  static final HttpHeader REQUEST_ID = HttpHeaders.of("X-Request-Id");
  static final HttpHeader CLIENT_KEY = HttpHeaders.of("X-Client-Key");
  static final HttpHeader NOT_RUN = HttpHeaders.of("X-Not-Run");
  static final HttpHeader IDEMPOTENCY_KEY = HttpHeaders.of("Idempotency-Key");

  private EndpointHeaders() {}
}
