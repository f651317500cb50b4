package org.snipewick.endpoint;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Sends model requests to engines. It never sends a call again by itself.
 *
 * <p>Failures have the outcome {@link org.snipewick.failure.Outcome#NOT_RUN} if the connection was
 * never made or the engine refused before running, and {@link
 * org.snipewick.failure.Outcome#UNKNOWN} once anything may have been written.
 */
public interface EngineClient {

  /**
   * Dispatches a request for a whole answer.
   *
   * @param call request
   * @return answer in full length; fails with {@link
   *     org.snipewick.failure.FailureType#ENDPOINT_REFUSED} or {@link
   *     org.snipewick.failure.FailureType#ANSWER_INCOMPLETE}
   */
  CompletableFuture<EndpointAnswer> call(EngineCall call);

  /**
   * Dispatches a request for a streamed answer.
   *
   * @param call request
   * @param receiver gets the events
   * @return empty once the terminator was received; the whole answer if the engine gave one
   *     instead, such as an error; fails as {@link #call}
   */
  CompletableFuture<Optional<EndpointAnswer>> stream(EngineCall call, EventReceiver receiver);

  /**
   * Reads on in the stream of a request that was dispatched before; this is no second dispatch.
   *
   * @param call request as it was dispatched
   * @param received number of events received, which are left out
   * @param receiver gets the events that follow
   * @return completes once the terminator was received; fails with {@link
   *     org.snipewick.failure.FailureType#NOT_FOUND} if the engine does not know the request, else
   *     as {@link #call}, always with an unknown outcome
   */
  CompletableFuture<Void> resume(EngineCall call, int received, EventReceiver receiver);

  /**
   * Cancels a request at its engine; what still arrives for it is dropped.
   *
   * @param call request as it was dispatched
   */
  void cancel(EngineCall call);
}
