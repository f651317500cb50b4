package org.snipewick.idempotency;

import java.util.concurrent.CompletableFuture;
import org.snipewick.failure.FailureException;

/** Transfers the results of futures. */
final class Futures {
  private Futures() {}

  /** Completes a future with the value or the failure of another. */
  static <T> void complete(T value, Throwable failure, CompletableFuture<T> target) {
    if (failure != null) {
      target.completeExceptionally(FailureException.unwrap(failure).toException());
    } else {
      target.complete(value);
    }
  }
}
