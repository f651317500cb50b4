package org.snipewick.relay;

import io.activej.http.HttpResponse;
import io.activej.promise.Promise;

/** A step of the way of a request; passes it on or answers it. */
@FunctionalInterface
interface RelayFilter {

  /**
   * Handles a call.
   *
   * @param call call
   * @param next rest of the way
   * @return response; fails with a {@link org.snipewick.failure.FailureException}
   */
  Promise<HttpResponse> apply(RelayCall call, Next next);

  /** The rest of the way. */
  @FunctionalInterface
  interface Next {
    Promise<HttpResponse> handle(RelayCall call);
  }

  /** Returns a way through this filter to the rest. */
  default Next before(Next rest) {
    return call -> apply(call, rest);
  }
}
