package org.snipewick.bench.soak;

import java.net.http.HttpResponse;
import java.util.Optional;
import org.snipewick.bench.cluster.Http;

/**
 * A request of a caller to one instance, and its result.
 *
 * @param request request, the same for all attempts of a caller
 * @param instance instance that the request was sent to
 * @param startNanos time of sending on the monotonic clock
 * @param endNanos time of its end on the monotonic clock
 * @param response complete response; empty if the connection failed
 * @param failure why the connection failed, the empty string if it did not
 */
record Attempt(
    Request request,
    String instance,
    long startNanos,
    long endNanos,
    Optional<HttpResponse<String>> response,
    String failure) {

  /** Kind of a request; bookings and keyed questions have an idempotency key and may be retried. */
  enum Kind {
    BOOKING,
    KEYED_QUESTION,
    PLAIN_QUESTION
  }

  /**
   * A request of a caller.
   *
   * @param kind kind of the request
   * @param name unique name, and the idempotency key if the kind has one
   * @param streamed whether the response is streamed
   */
  record Request(Kind kind, String name, boolean streamed) {}

  /** Returns whether there is a response with status 200. */
  boolean succeeded() {
    return response.filter(received -> received.statusCode() == 200).isPresent();
  }

  /** Returns the outcome that a failed response reports, empty if there is none. */
  Optional<String> outcome() {
    return response
        .filter(received -> received.statusCode() != 200)
        .filter(received -> received.body().startsWith("{"))
        .map(received -> Http.json(received.body()).path("outcome").asText(""))
        .filter(outcome -> !outcome.isEmpty());
  }

  /** Returns whether a successful response belongs to the request and is complete. */
  boolean isCompleteAndMatching() {
    String body = response.orElseThrow().body();
    return body.contains(marker(request)) && (!request.streamed() || hasEndOfStream(body));
  }

  /** Returns whether a stream ended early without an error event. */
  boolean isTruncatedWithoutError() {
    return succeeded()
        && request.streamed()
        && !hasEndOfStream(response.orElseThrow().body())
        && !response.orElseThrow().body().contains("event: error");
  }

  /** Returns whether a stream reported an error. */
  boolean hasErrorEvent() {
    return succeeded()
        && request.streamed()
        && response.orElseThrow().body().contains("event: error");
  }

  /** Returns the text that the response to a request repeats. */
  static String marker(Request request) {
    return "<" + request.name() + ">";
  }

  private static boolean hasEndOfStream(String body) {
    return body.strip().endsWith("data: [DONE]");
  }
}
