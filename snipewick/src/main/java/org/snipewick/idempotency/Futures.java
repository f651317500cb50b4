package org.snipewick.idempotency;

import java.util.concurrent.CompletableFuture;
import org.snipewick.failure.FailureException;

/** Steps that the ledgers share. */
final class Futures {
  private Futures() {}

  /** Completes a future with what another was completed with. */
  static <T> void pass(T value, Throwable failure, CompletableFuture<T> target) {
    if (failure != null) {
      target.completeExceptionally(FailureException.unwrap(failure).toException());
    } else {
      target.complete(value);
    }
  }
}
