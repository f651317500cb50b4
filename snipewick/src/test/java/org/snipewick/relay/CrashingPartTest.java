package org.snipewick.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.snipewick.route.CallKind;
import org.snipewick.route.Plans;

/** Tests requests with a prompt part that crashes each endpoint which begins to answer them. */
class CrashingPartTest {
  private static final int ENDPOINTS = 10;

  /** Longer than crashes that count as simultaneous are apart. */
  private static final long PAUSE_NANOS = 80_000_000;

  private static final String STREAM_HEAD =
      "HTTP/1.1 200 OK\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n";

  private final RelayFixture relay =
      new RelayFixture(
          Plans.plan(
              1,
              Plans.route("stream", "/stream/", CallKind.STREAM, 1, false),
              Plans.route("resumable", "/resumable/", CallKind.STREAM, 3, true)));

  private final List<ScriptedEndpoint> endpoints = new ArrayList<>();

  @AfterEach
  void close() {
    relay.close();
  }

  @Test
  void shouldStopSendingPartWhenItCrashesOneEndpointAfterTheOther() throws IOException {
    startEndpoints("stream");
    exchange("/stream/", "common:60,first:100,own-0:10");
    List<String> responses = new ArrayList<>();
    for (int request = 1; request < ENDPOINTS; request++) {
      responses.add(exchange("/stream/", "common:60,bad:100,own-" + request + ":10"));
    }
    assertThat(requestsWith("bad")).hasSizeLessThanOrEqualTo(5);
    assertThat(responses.get(ENDPOINTS - 2))
        .startsWith("HTTP/1.1 503")
        .contains("urn:snipewick:problem:1111")
        .contains("Content-Type: application/problem+json")
        .contains("not-run")
        .containsPattern("Retry-After: [0-9]{2,}");
    assertThat(exchange("/stream/", "common:60,other:100,own-x:10")).contains("id: 1");
  }

  @Test
  void shouldNotPassRequestOnWhenItsPartIsSuspected() throws IOException {
    startEndpoints("resumable");
    for (int request = 0; request < 4; request++) {
      exchange("/resumable/", "bad:100,own-" + request + ":10");
    }
    assertThat(requestsWith("bad")).hasSizeLessThanOrEqualTo(5);
  }

  /** Another endpoint may start at the address of one that crashed. */
  @Test
  void shouldKeepPartInQuarantineWhenAddressOfCrashedEndpointRespondsMisdirected()
      throws IOException {
    for (int index = 0; index < ENDPOINTS; index++) {
      AtomicBoolean hasCrashed = new AtomicBoolean();
      endpoints.add(
          ScriptedEndpoint.start(
              (request, connection) -> {
                boolean isBad = request.contains("bad:");
                if (hasCrashed.get() || isBad) {
                  ScriptedEndpoint.write(
                      connection,
                      hasCrashed.getAndSet(true)
                          ? "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"
                          : STREAM_HEAD);
                } else {
                  ScriptedEndpoint.write(connection, STREAM_HEAD + "7\r\nid: 1\n\n\r\n0\r\n\r\n");
                }
                connection.close();
              }));
    }
    relay.setEndpoints("stream", endpoints.toArray(ScriptedEndpoint[]::new));
    for (int request = 0; request < 12; request++) {
      exchange("/stream/", "bad:100,own-" + request + ":10");
      exchange("/stream/", "other:100,own-" + request + ":10");
    }
    assertThat(requestsWith("bad")).hasSizeLessThanOrEqualTo(5);
  }

  private void startEndpoints(String pool) {
    IntStream.range(0, ENDPOINTS).forEach(index -> endpoints.add(startEndpoint()));
    relay.setEndpoints(pool, endpoints.toArray(ScriptedEndpoint[]::new));
  }

  /** Starts an endpoint that ends after the head of its response to a request with the part. */
  private static ScriptedEndpoint startEndpoint() {
    ScriptedEndpoint[] self = new ScriptedEndpoint[1];
    self[0] =
        ScriptedEndpoint.start((request, connection) -> respond(self[0], request, connection));
    return self[0];
  }

  private static void respond(ScriptedEndpoint endpoint, String request, Socket connection)
      throws IOException {
    ScriptedEndpoint.write(connection, STREAM_HEAD);
    if (request.contains("bad:")) {
      endpoint.close();
    } else {
      ScriptedEndpoint.write(connection, "7\r\nid: 1\n\n\r\n0\r\n\r\n");
    }
    connection.close();
  }

  private String exchange(String path, String parts) throws IOException {
    String response =
        relay.exchange(
            "GET "
                + path
                + " HTTP/1.1\r\nHost: desk.example\r\nKey: key-1\r\nCall-Id: c-1\r\nParts: "
                + parts
                + "\r\n\r\n");
    LockSupport.parkNanos(PAUSE_NANOS);
    return response;
  }

  private List<String> requestsWith(String part) {
    return endpoints.stream()
        .flatMap(endpoint -> endpoint.requests().stream())
        .filter(request -> request.contains(part + ":"))
        .toList();
  }
}
