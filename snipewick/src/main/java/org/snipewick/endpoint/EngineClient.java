package org.snipewick.endpoint;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Client of model engines. It sends each call once, without retries.
 *
 * <p>Failures have the outcome {@link org.snipewick.failure.Outcome#NOT_RUN} if no connection was
 * made or the engine rejected the request before running it, and {@link
 * org.snipewick.failure.Outcome#UNKNOWN} if the request may have been sent.
 */
public interface EngineClient {

  /**
   * Dispatches a request whose response is not a stream.
   *
   * @param call request to dispatch
   * @return complete response; fails with {@link
   *     org.snipewick.failure.FailureType#ENDPOINT_REFUSED} or {@link
   *     org.snipewick.failure.FailureType#ANSWER_INCOMPLETE}
   */
  CompletableFuture<EndpointResponse> call(EngineCall call);

  /**
   * Dispatches a request whose response is a stream of events.
   *
   * @param call request to dispatch
   * @param receiver receives the events
   * @return empty after the terminator was received; the complete response if the engine sent one
   *     instead of a stream, such as an error; fails like {@link #call}
   */
  CompletableFuture<Optional<EndpointResponse>> stream(EngineCall call, EventReceiver receiver);

  /**
   * Resumes reading the stream of a request that was dispatched before, without dispatching the
   * request again.
   *
   * @param call request that was dispatched
   * @param receivedEvents number of events already received, which are not sent again
   * @param receiver receives the events that follow
   * @return completes with null after the terminator was received; fails with {@link
   *     org.snipewick.failure.FailureType#NOT_FOUND} if the request is unknown to the engine,
   *     otherwise like {@link #call}, always with an unknown outcome
   */
  CompletableFuture<Void> resume(EngineCall call, int receivedEvents, EventReceiver receiver);

  /**
   * Cancels a request at its engine. Events and responses received for it afterwards are dropped.
   *
   * @param call request that was dispatched
   */
  void cancel(EngineCall call);
}
