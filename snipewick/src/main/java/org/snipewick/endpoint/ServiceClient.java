package org.snipewick.endpoint;

import java.util.concurrent.CompletableFuture;

/** Client of plain services. It sends each call once, without retries. */
public interface ServiceClient {

  /**
   * Dispatches a call.
   *
   * @param call call to dispatch
   * @return complete response; fails with the outcome {@link org.snipewick.failure.Outcome#NOT_RUN}
   *     if no connection was made or the service rejected the call before running it, otherwise
   *     with an unknown outcome
   */
  CompletableFuture<EndpointResponse> call(ServiceCall call);
}
