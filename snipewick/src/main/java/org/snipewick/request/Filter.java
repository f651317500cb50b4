package org.snipewick.request;

import java.util.concurrent.CompletableFuture;

/** One step on the path of a request. */
@FunctionalInterface
public interface Filter {

  /**
   * Handles a call, by itself or by the rest of the chain.
   *
   * @param context what is known of the call
   * @param next rest of the chain
   * @return answer; fails with a {@link org.snipewick.failure.FailureException}
   */
  CompletableFuture<Answer> apply(CallContext context, Chain next);
}
