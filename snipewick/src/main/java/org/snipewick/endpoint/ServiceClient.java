package org.snipewick.endpoint;

import java.util.concurrent.CompletableFuture;

/** Sends calls to plain services. It never sends a call again by itself. */
public interface ServiceClient {

  /**
   * Dispatches a call.
   *
   * @param call call
   * @return answer in full length; fails with the outcome {@link
   *     org.snipewick.failure.Outcome#NOT_RUN} if the connection was never made or the service
   *     refused before running, else with an unknown outcome
   */
  CompletableFuture<EndpointAnswer> call(ServiceCall call);
}
