package org.snipewick.bench.soak;

import java.net.http.HttpResponse;
import java.util.Optional;
import org.snipewick.bench.cluster.Http;

/**
 * One call of a caller through one instance.
 *
 * @param request the request
 * @param instance instance that was called
 * @param startNanos when it was sent, on the monotonic clock
 * @param endNanos when it ended
 * @param answer answer; empty if the connection failed
 * @param failure why the connection failed, empty text if it did not
 */
record Attempt(
    Request request,
    String instance,
    long startNanos,
    long endNanos,
    Optional<HttpResponse<String>> answer,
    String failure) {

  /** Kind of a request; actions and keyed ones may be repeated. */
  enum Kind {
    BOOKING,
    KEYED_QUESTION,
    PLAIN_QUESTION
  }

  /**
   * Request of a caller.
   *
   * @param kind kind
   * @param name unique name, and the idempotency key if the kind has one
   * @param streamed whether the answer is streamed
   */
  record Request(Kind kind, String name, boolean streamed) {}

  boolean succeeded() {
    return answer.filter(present -> present.statusCode() == 200).isPresent();
  }

  /** Returns the outcome that was reported to the caller, empty if none. */
  Optional<String> outcome() {
    return answer
        .filter(present -> present.statusCode() != 200)
        .filter(present -> present.body().startsWith("{"))
        .map(present -> Http.json(present.body()).path("outcome").asText(""))
        .filter(outcome -> !outcome.isEmpty());
  }

  /** Returns whether a successful answer is the caller's own and is all there. */
  boolean isWholeAndOwn() {
    String body = answer.orElseThrow().body();
    return body.contains(mark(request)) && (!request.streamed() || isEnded(body));
  }

  /** Returns whether a stream broke off without a word on why. */
  boolean isCutWithoutError() {
    return succeeded()
        && request.streamed()
        && !isEnded(answer.orElseThrow().body())
        && !answer.orElseThrow().body().contains("event: error");
  }

  /** Returns whether a stream has reported that it broke off. */
  boolean toldItBrokeOff() {
    return succeeded()
        && request.streamed()
        && answer.orElseThrow().body().contains("event: error");
  }

  static String mark(Request request) {
    return "<" + request.name() + ">";
  }

  private static boolean isEnded(String body) {
    return body.strip().endsWith("data: [DONE]");
  }
}
