package org.snipewick.relay;

import static java.util.Objects.requireNonNull;

import io.activej.http.HttpMethod;
import java.util.Optional;
import org.snipewick.quarantine.SharedParts;
import org.snipewick.route.RoutingPlan;

/**
 * Request as received from a caller, with its body.
 *
 * @param id identifier that the caller gave this attempt; empty if it gave none
 * @param method HTTP method
 * @param pathAndQuery path and query as sent
 * @param path path without the query
 * @param headers header fields
 * @param body content, empty if there is none
 * @param receivedNanos monotonic time at which its header section had arrived, in nanoseconds
 * @param timeLeftNanos nanoseconds from then on for which the caller waits; empty if not stated
 * @param tokens number of prompt tokens and maximum number of output tokens together; 0 if not
 *     stated
 * @param promptTokens number of prompt tokens; 0 if not stated
 * @param sharedParts parts of the prompt that other requests may contain too
 */
@SuppressWarnings("ArrayRecordComponent") // The body is forwarded once and never changed.
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
    long promptTokens,
    SharedParts sharedParts) {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  RelayRequest {
    requireNonNull(id, "id");
    requireNonNull(method, "method");
    requireNonNull(pathAndQuery, "pathAndQuery");
    requireNonNull(path, "path");
    requireNonNull(headers, "headers");
    requireNonNull(timeLeftNanos, "timeLeftNanos");
    requireNonNull(sharedParts, "sharedParts");
  }

  /** Creates a request; a malformed number in a header is treated as missing. */
  static RelayRequest of(
      HttpMethod method,
      String pathAndQuery,
      String path,
      Headers headers,
      byte[] body,
      long receivedNanos,
      HeaderNames headerNames) {
    return new RelayRequest(
        headers.first(headerNames.requestId()).orElse(""),
        method,
        pathAndQuery,
        path,
        headers,
        body,
        receivedNanos,
        headers
            .first(headerNames.timeLeftMillis())
            .flatMap(RelayRequest::parseNumber)
            .map(millis -> millis * NANOS_PER_MILLI),
        headers.first(headerNames.tokens()).map(RelayRequest::sumOfNumbers).orElse(0L),
        headers
            .first(headerNames.tokens())
            .flatMap(tokens -> parseNumber(tokens.split(",", 2)[0]))
            .orElse(0L),
        headers
            .first(headerNames.promptParts())
            .map(SharedParts::parse)
            .orElse(SharedParts.empty()));
  }

  String host() {
    return headers.first("host").orElse("");
  }

  /** Returns whether the body is larger than the plan allows. */
  boolean exceedsBodyLimit(RoutingPlan plan) {
    return body.length > plan.limits().maxBodyBytes();
  }

  private static Optional<Long> parseNumber(String text) {
    try {
      long value = Long.parseLong(text.trim());
      return value < 0 ? Optional.empty() : Optional.of(value);
    } catch (NumberFormatException malformed) {
      return Optional.empty();
    }
  }

  private static long sumOfNumbers(String tokens) {
    long sum = 0;
    for (String each : tokens.split(",")) {
      sum += parseNumber(each).orElse(0L);
    }
    return sum;
  }
}
