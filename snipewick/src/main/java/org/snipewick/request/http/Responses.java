package org.snipewick.request.http;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.snipewick.failure.Failure;
import org.snipewick.failure.ProblemDocument;
import org.snipewick.identity.RequestId;
import org.snipewick.request.Answer;
import org.snipewick.request.ProblemText;

/** Builds HTTP responses to callers. */
final class Responses {
  private static final HttpHeader REQUEST_ID = HttpHeaders.of("Snipewick-Request");
  private static final HttpHeader RETRY_AFTER = HttpHeaders.of("Retry-After");
  private static final long MILLIS_PER_SECOND = 1000;

  private Responses() {}

  static HttpResponse whole(RequestId id, Answer.Whole answer) {
    return HttpResponse.ofCode(answer.status())
        .withHeader(REQUEST_ID, id.toString())
        .withHeader(HttpHeaders.CONTENT_TYPE, answer.contentType())
        .withBody(answer.body());
  }

  static HttpResponse streamed(RequestId id, StreamBody body) {
    return HttpResponse.ofCode(200)
        .withHeader(REQUEST_ID, id.toString())
        .withHeader(HttpHeaders.CONTENT_TYPE, Answer.Streamed.CONTENT_TYPE)
        .withHeader(HttpHeaders.CACHE_CONTROL, "no-cache")
        .withBodyStream(body);
  }

  static HttpResponse problem(Optional<RequestId> id, Failure failure, boolean dispatched) {
    HttpResponse response =
        HttpResponse.ofCode(failure.type().status())
            .withHeader(HttpHeaders.CONTENT_TYPE, ProblemDocument.CONTENT_TYPE)
            .withBody(ProblemText.document(failure, dispatched).getBytes(StandardCharsets.UTF_8));
    id.ifPresent(value -> response.addHeader(REQUEST_ID, value.toString()));
    failure.retryAfter().ifPresent(delay -> response.addHeader(RETRY_AFTER, ceilSeconds(delay)));
    return response;
  }

  /** Adds the {@code Allow} header of a path to a response. */
  static HttpResponse withAllowed(HttpResponse response, String path) {
    return response.withHeader(HttpHeaders.ALLOW, AllowedMethods.forPath(path));
  }

  static HttpResponse health(boolean healthy) {
    return HttpResponse.ofCode(healthy ? 200 : 503).withPlainText(healthy ? "ok" : "stopping");
  }

  /** Rounds up to seconds, at least 1, so that a caller never retries too early. */
  static String ceilSeconds(Duration delay) {
    return Long.toString(
        Math.max(1, (delay.toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND));
  }
}
