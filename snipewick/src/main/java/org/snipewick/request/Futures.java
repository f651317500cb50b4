package org.snipewick.request;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;

/** Callbacks on futures; an exception that a callback throws is logged and not lost. */
final class Futures {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private Futures() {}

  /** Runs a callback with the value and null, or with null and the failure. */
  static <T> void whenDone(CompletableFuture<T> future, BiConsumer<T, Failure> callback) {
    CompletableFuture<Void> handled =
        future.handle(
            (value, thrown) -> {
              callback.accept(value, thrown == null ? null : FailureException.unwrap(thrown));
              return null;
            });
    logUncaught(handled);
  }

  /** Runs a callback with the value; does nothing on a failure. */
  static <T> void whenResult(CompletableFuture<T> future, Consumer<T> callback) {
    whenDone(
        future,
        (value, failure) -> {
          if (failure == null) {
            callback.accept(value);
          }
        });
  }

  /**
   * Returns the future that a function returns for the value and null, or for null and the failure.
   */
  static <T, U> CompletableFuture<U> andThen(
      CompletableFuture<T> future, BiFunction<T, Failure, CompletableFuture<U>> next) {
    CompletableFuture<U> result = new CompletableFuture<>();
    CompletableFuture<Void> handled =
        future.handle(
            (value, thrown) -> {
              Failure failure = thrown == null ? null : FailureException.unwrap(thrown);
              forward(applyOrFail(next, value, failure), result);
              return null;
            });
    logUncaught(handled);
    return result;
  }

  /** Completes a future with the value or the failure of another. */
  static <T> void forward(CompletableFuture<T> future, CompletableFuture<T> result) {
    whenDone(
        future,
        (value, failure) -> {
          if (failure == null) {
            result.complete(value);
          } else {
            result.completeExceptionally(failure.toException());
          }
        });
  }

  /** Returns a failed future. */
  static <T> CompletableFuture<T> failed(Failure failure) {
    return CompletableFuture.failedFuture(failure.toException());
  }

  private static <T, U> CompletableFuture<U> applyOrFail(
      BiFunction<T, Failure, CompletableFuture<U>> next, T value, Failure failure) {
    try {
      return next.apply(value, failure);
    } catch (RuntimeException thrown) {
      return CompletableFuture.failedFuture(thrown);
    }
  }

  @SuppressWarnings("FutureReturnValueIgnored")
  private static void logUncaught(CompletableFuture<Void> handled) {
    handled.exceptionally(
        thrown -> {
          LOGGER.atSevere().withCause(thrown).log("Callback of a future failed");
          return null;
        });
  }
}
