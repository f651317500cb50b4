package org.snipewick.request;

import java.util.concurrent.CompletableFuture;

/** One step of the processing of a call. */
@FunctionalInterface
public interface Filter {

  /**
   * Handles a call, or passes it to the rest of the chain.
   *
   * @param context the call
   * @param next rest of the chain
   * @return future with the answer; fails with a {@link org.snipewick.failure.FailureException}
   */
  CompletableFuture<Answer> apply(CallContext context, Chain next);
}
