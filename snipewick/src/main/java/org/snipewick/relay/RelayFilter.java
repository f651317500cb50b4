package org.snipewick.relay;

import io.activej.http.HttpResponse;
import io.activej.promise.Promise;

/** Step of a filter chain; responds to a request or passes it to the rest of the chain. */
@FunctionalInterface
interface RelayFilter {

  /**
   * Handles a call.
   *
   * @param call call
   * @param next rest of the chain
   * @return response; completes exceptionally with a {@link org.snipewick.failure.FailureException}
   */
  Promise<HttpResponse> apply(RelayCall call, Next next);

  /** Rest of a filter chain. */
  @FunctionalInterface
  interface Next {

    /** Handles a call; the promise completes exceptionally as that of the filter does. */
    Promise<HttpResponse> handle(RelayCall call);
  }

  /** Returns the chain that consists of this filter and the given rest. */
  default Next before(Next rest) {
    return call -> apply(call, rest);
  }
}
