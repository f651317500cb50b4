package org.snipewick.request.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.snipewick.endpoint.EndpointClients;
import org.snipewick.endpoint.EndpointResponse;
import org.snipewick.endpoint.EngineCall;
import org.snipewick.endpoint.EngineClient;
import org.snipewick.endpoint.EventReceiver;
import org.snipewick.endpoint.StreamEvent;
import org.snipewick.endpoint.http.FakeEndpoint;

/**
 * Guards against a streamed response that is never sent: an engine answers before the callback for
 * its answer is registered, so that the answer completes on the thread that granted the request
 * instead of the event loop of the caller's connection.
 */
class StreamedAnswerTest {
  /** Time after which the server waits for the grant; a grant before that completes on its loop. */
  private static final long CALLBACK_REGISTRATION_NANOS = 200_000_000;

  private final CallerServerFixture fixture =
      CallerServerFixture.start(
          new EndpointClients(
              new ImmediateEngine(),
              call -> CompletableFuture.failedFuture(new IllegalStateException("no services"))));

  @AfterEach
  void close() {
    fixture.close();
  }

  @Test
  void shouldSendStreamWhenAnswerCompletesOnAnotherThread() throws Exception {
    fixture.pool.setEndpoints(FakeEndpoint.status("e-1", 1));
    fixture.pool.holdsRequests = true;
    final CompletableFuture<HttpResponse<String>> response =
        fixture.postAsync("/v1/chat/completions", CallerServerFixture.chat(true));
    fixture.pool.awaitHeld();
    LockSupport.parkNanos(CALLBACK_REGISTRATION_NANOS);
    fixture.pool.grantHeld();
    HttpResponse<String> received = response.get(10, TimeUnit.SECONDS);
    assertThat(received.statusCode()).isEqualTo(200);
    assertThat(received.body()).contains("finish_reason").endsWith("data: [DONE]\n\n");
  }

  /** Engine whose stream is complete when the call returns. */
  private static final class ImmediateEngine implements EngineClient {

    @Override
    public CompletableFuture<EndpointResponse> call(EngineCall call) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Optional<EndpointResponse>> stream(
        EngineCall call, EventReceiver receiver) {
      receiver.onEvent(StreamEvent.of("{\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}"));
      receiver.onEvent(StreamEvent.of(StreamEvent.DONE));
      return CompletableFuture.completedFuture(Optional.empty());
    }

    @Override
    public CompletableFuture<Void> resume(
        EngineCall call, int receivedEvents, EventReceiver receiver) {
      return new CompletableFuture<>();
    }

    @Override
    public void cancel(EngineCall call) {}
  }
}
