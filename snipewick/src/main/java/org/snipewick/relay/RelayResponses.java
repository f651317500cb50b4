package org.snipewick.relay;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.ChannelSupplier;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.AbstractMap.SimpleImmutableEntry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.snipewick.failure.Failure;
import org.snipewick.failure.ProblemDocument;

/** Builds the HTTP responses to callers. */
final class RelayResponses {
  private static final HttpHeader RETRY_AFTER = HttpHeaders.of("Retry-After");
  private static final int MILLIS_DECIMAL_PLACES = 3;

  private RelayResponses() {}

  /** Returns an endpoint's response whose body has arrived completely. */
  static HttpResponse buffered(int status, Headers headers, byte[] body) {
    return withHeaders(HttpResponse.ofCode(status), headers).withBody(body);
  }

  /** Returns an endpoint's response whose body is forwarded as it arrives. */
  static HttpResponse streamed(int status, Headers headers, ChannelSupplier<ByteBuf> body) {
    return withHeaders(HttpResponse.ofCode(status), headers).withBodyStream(body);
  }

  /** Returns the relay's own response to a request that failed. */
  static HttpResponse problem(Failure failure, String requestId, HeaderNames headerNames) {
    HttpResponse response =
        HttpResponse.ofCode(failure.type().status())
            .withHeader(HttpHeaders.CONTENT_TYPE, ProblemDocument.CONTENT_TYPE)
            .withBody(ProblemDocument.of(failure).toJson().getBytes(StandardCharsets.UTF_8));
    if (!requestId.isEmpty()) {
      response.addHeader(HttpHeaders.of(headerNames.requestId()), requestId);
    }
    failure.retryAfter().ifPresent(delay -> response.addHeader(RETRY_AFTER, seconds(delay)));
    return response;
  }

  private static HttpResponse withHeaders(HttpResponse response, Headers headers) {
    headers
        .withoutHopByHopFields()
        .fields()
        .forEach(field -> response.addHeader(HttpHeaders.of(field.getKey()), field.getValue()));
    return response;
  }

  /** Returns the header fields of a message. */
  static Headers headersOf(io.activej.http.HttpMessage message) {
    List<Map.Entry<String, String>> fields = new ArrayList<>();
    message
        .getHeaders()
        .forEach(
            field ->
                fields.add(
                    new SimpleImmutableEntry<>(
                        field.getKey().toString(), field.getValue().toString())));
    return Headers.of(fields);
  }

  /** Returns a duration in seconds, with milliseconds as decimals. */
  private static String seconds(Duration delay) {
    return BigDecimal.valueOf(delay.toMillis(), MILLIS_DECIMAL_PLACES).toPlainString();
  }
}
