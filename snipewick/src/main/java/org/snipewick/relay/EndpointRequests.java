package org.snipewick.relay;

import static java.util.Objects.requireNonNull;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import java.util.Optional;
import org.snipewick.registry.RegisteredEndpoint;

/** Builds the requests to endpoints from those of callers. */
final class EndpointRequests {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final HeaderNames headerNames;

  EndpointRequests(HeaderNames headerNames) {
    this.headerNames = requireNonNull(headerNames, "headerNames");
  }

  /**
   * Builds the request of one attempt.
   *
   * @param call call
   * @param endpoint the only endpoint that may run it
   * @param nowNanos monotonic time at which it is sent, in nanoseconds
   * @return request whose headers state the time left until the deadline and the endpoint
   */
  HttpRequest build(RelayCall call, RegisteredEndpoint endpoint, long nowNanos) {
    RelayRequest received = call.request();
    String url = "http://" + endpoint.host() + ":" + endpoint.port() + received.pathAndQuery();
    HttpRequest request = HttpRequest.of(received.method(), url);
    headers(call, endpoint, nowNanos)
        .fields()
        .forEach(field -> request.addHeader(HttpHeaders.of(field.getKey()), field.getValue()));
    if (received.body().length > 0) {
      request.setBody(received.body());
    }
    return request;
  }

  private Headers headers(RelayCall call, RegisteredEndpoint endpoint, long nowNanos) {
    long timeLeftMillis = Math.max(0, call.deadlineNanos() - nowNanos) / NANOS_PER_MILLI;
    Headers headers =
        call.request()
            .headers()
            .withoutHopByHopFields()
            .without(headerNames::isReserved)
            .with(headerNames.timeLeftMillis(), Long.toString(timeLeftMillis))
            .with(headerNames.expectedEndpoint(), endpoint.id().toString());
    if (call.team().isPresent()) {
      headers = headers.with(headerNames.team(), call.team().get().name().toString());
    }
    Optional<String> lastEventId = call.stream().flatMap(RelayStream::lastEventId);
    return lastEventId.isEmpty()
        ? headers
        : headers
            .without(headerNames.lastEventId()::equalsIgnoreCase)
            .with(headerNames.lastEventId(), lastEventId.get());
  }
}
