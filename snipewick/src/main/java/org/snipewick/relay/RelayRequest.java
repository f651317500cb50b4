package org.snipewick.relay;

import static java.util.Objects.requireNonNull;

import io.activej.http.HttpMethod;
import java.util.Optional;
import org.snipewick.route.RoutingPlan;

/**
 * A request as its caller sent it, with its body.
 *
 * @param id identifier that the caller gave this attempt
 * @param method method
 * @param pathAndQuery path and query as sent
 * @param path path without the query
 * @param headers header fields
 * @param body content, empty if there is none
 * @param receivedNanos monotonic time at which its head had arrived
 * @param timeLeftNanos how long the caller waits from then on; empty if it does not say
 * @param tokens prompt and output tokens that it announces, 0 if it announces none
 * @param promptTokens prompt tokens among them
 */
@SuppressWarnings("ArrayRecordComponent") // The body is handed on once and never changed.
record RelayRequest(
    String id,
    HttpMethod method,
    String pathAndQuery,
    String path,
    Headers headers,
    byte[] body,
    long receivedNanos,
    Optional<Long> timeLeftNanos,
    long tokens,
    long promptTokens) {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  RelayRequest {
    requireNonNull(id, "id");
    requireNonNull(method, "method");
    requireNonNull(pathAndQuery, "pathAndQuery");
    requireNonNull(path, "path");
    requireNonNull(headers, "headers");
    requireNonNull(timeLeftNanos, "timeLeftNanos");
  }

  /** Reads what the headers tell; a number that cannot be read counts as missing. */
  static RelayRequest of(
      HttpMethod method,
      String pathAndQuery,
      String path,
      Headers headers,
      byte[] body,
      long receivedNanos,
      HeaderNames names) {
    return new RelayRequest(
        headers.first(names.requestId()).orElse(""),
        method,
        pathAndQuery,
        path,
        headers,
        body,
        receivedNanos,
        headers
            .first(names.timeLeftMillis())
            .flatMap(RelayRequest::number)
            .map(millis -> millis * NANOS_PER_MILLI),
        headers.first(names.tokens()).map(RelayRequest::sum).orElse(0L),
        headers
            .first(names.tokens())
            .flatMap(tokens -> number(tokens.split(",", 2)[0]))
            .orElse(0L));
  }

  String host() {
    return headers.first("host").orElse("");
  }

  /** Tells whether the request is bound by a limit of the plan on its body. */
  boolean exceeds(RoutingPlan plan) {
    return body.length > plan.limits().maxBodyBytes();
  }

  private static Optional<Long> number(String text) {
    try {
      long value = Long.parseLong(text.trim());
      return value < 0 ? Optional.empty() : Optional.of(value);
    } catch (NumberFormatException malformed) {
      return Optional.empty();
    }
  }

  private static long sum(String tokens) {
    long sum = 0;
    for (String each : tokens.split(",")) {
      sum += number(each).orElse(0L);
    }
    return sum;
  }
}
