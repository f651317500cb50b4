package org.snipewick.relay;

import static java.util.Objects.requireNonNull;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import java.util.Optional;
import org.snipewick.registry.RegisteredEndpoint;

/** Builds the requests to endpoints from those of callers. */
final class EndpointRequests {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final HeaderNames names;

  EndpointRequests(HeaderNames names) {
    this.names = requireNonNull(names, "names");
  }

  /**
   * Builds the request of one attempt.
   *
   * @param call call
   * @param endpoint the only endpoint that may run it
   * @param nowNanos monotonic time at which it is sent, in nanoseconds
   * @return request whose headers announce the time left until the deadline
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
            .without(names::isReserved)
            .with(names.timeLeftMillis(), Long.toString(timeLeftMillis))
            .with(names.expectedEndpoint(), endpoint.id().toString());
    if (call.team().isPresent()) {
      headers = headers.with(names.team(), call.team().get().name().toString());
    }
    Optional<String> lastEventId = call.stream().flatMap(RelayStream::lastEventId);
    return lastEventId.isEmpty()
        ? headers
        : headers
            .without(names.lastEventId()::equalsIgnoreCase)
            .with(names.lastEventId(), lastEventId.get());
  }
}
