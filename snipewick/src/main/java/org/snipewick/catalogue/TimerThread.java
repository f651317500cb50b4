package org.snipewick.catalogue;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.snipewick.time.TimerService;

/** Executor of actions on the timer's thread, to which the state of this package is confined. */
final class TimerThread {
  private final TimerService timer;

  TimerThread(TimerService timer) {
    this.timer = requireNonNull(timer, "timer");
  }

  /**
   * Runs an action on the timer's thread. The returned future completes with the result or failure
   * of the future that the action returns.
   */
  <T> CompletableFuture<T> call(Supplier<CompletableFuture<T>> action) {
    CompletableFuture<T> result = new CompletableFuture<>();
    timer.after(
        Duration.ZERO,
        () ->
            action
                .get()
                .whenComplete(
                    (value, failure) -> {
                      if (failure != null) {
                        result.completeExceptionally(failure);
                      } else {
                        result.complete(value);
                      }
                    }));
    return result;
  }
}
