package org.snipewick.request;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;

/** Reactions to futures, in which no defect of a reaction goes unnoticed. */
final class Futures {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private Futures() {}

  /** Runs a reaction with the value, or with the failure and no value. */
  static <T> void whenDone(CompletableFuture<T> future, BiConsumer<T, Failure> reaction) {
    CompletableFuture<Void> reacted =
        future.handle(
            (value, thrown) -> {
              reaction.accept(value, thrown == null ? null : FailureException.unwrap(thrown));
              return null;
            });
    logDefects(reacted);
  }

  /** Runs a reaction with the value; nothing happens on a failure. */
  static <T> void whenResult(CompletableFuture<T> future, Consumer<T> reaction) {
    whenDone(
        future,
        (value, failure) -> {
          if (failure == null) {
            reaction.accept(value);
          }
        });
  }

  /** Goes on with what follows from the value, or from the failure and no value. */
  static <T, U> CompletableFuture<U> andThen(
      CompletableFuture<T> future, BiFunction<T, Failure, CompletableFuture<U>> next) {
    CompletableFuture<U> result = new CompletableFuture<>();
    CompletableFuture<Void> reacted =
        future.handle(
            (value, thrown) -> {
              Failure failure = thrown == null ? null : FailureException.unwrap(thrown);
              forward(applied(next, value, failure), result);
              return null;
            });
    logDefects(reacted);
    return result;
  }

  /** Completes one future with what another brings. */
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

  /** Returns a future that has failed. */
  static <T> CompletableFuture<T> failed(Failure failure) {
    return CompletableFuture.failedFuture(failure.toException());
  }

  private static <T, U> CompletableFuture<U> applied(
      BiFunction<T, Failure, CompletableFuture<U>> next, T value, Failure failure) {
    try {
      return next.apply(value, failure);
    } catch (RuntimeException defect) {
      return CompletableFuture.failedFuture(defect);
    }
  }

  @SuppressWarnings("FutureReturnValueIgnored")
  private static void logDefects(CompletableFuture<Void> reacted) {
    reacted.exceptionally(
        defect -> {
          LOGGER.atSevere().withCause(defect).log("Reaction to a future failed");
          return null;
        });
  }
}
