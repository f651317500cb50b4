package org.snipewick.store.access;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import org.snipewick.time.TimerService;

/** Reads from the store: equal reads in flight are shared, failed ones repeated in a budget. */
final class Reads {
  private final TimerService timer;
  private final CircuitBreaker circuit;
  private final RetryPolicy retries;
  private final RateLimiter limiter;
  private final Duration longestWait;
  private final Map<Object, CompletableFuture<?>> inFlight = new ConcurrentHashMap<>();

  Reads(StoreSettings settings, TimerService timer, CircuitBreaker circuit, RetryPolicy retries) {
    this.timer = requireNonNull(timer, "timer");
    this.circuit = requireNonNull(circuit, "circuit");
    this.retries = requireNonNull(retries, "retries");
    limiter = new RateLimiter(timer, settings.readsPerSecond());
    longestWait = Duration.ofMillis(settings.timeoutMillis());
  }

  /** Names a read by what it asks for, so that equal ones can be shared. */
  interface Question<T> {

    /** Sends the call. */
    CompletableFuture<Reply<T>> ask();
  }

  /** Reads, or waits for an equal read that is in flight. */
  <T> CompletableFuture<T> get(Question<T> question) {
    CompletableFuture<T> created = new CompletableFuture<>();
    // Equal questions are of one class, so their answers are of one type.
    @SuppressWarnings("unchecked")
    CompletableFuture<T> shared = (CompletableFuture<T>) inFlight.putIfAbsent(question, created);
    if (shared != null) {
      return shared.copy();
    }
    retries.recordFirstAttempt();
    new Attempt<>(question, created, 1).start();
    return created.copy();
  }

  /** Keeps later reads from sharing those that were sent before a write to what they cover. */
  void separate(Predicate<Object> covers) {
    inFlight.keySet().removeIf(covers);
  }

  private final class Attempt<T> {
    private final Question<T> question;
    private final CompletableFuture<T> result;
    private final int number;

    Attempt(Question<T> question, CompletableFuture<T> result, int number) {
      this.question = question;
      this.result = result;
      this.number = number;
    }

    void start() {
      if (!circuit.isAvailable()) {
        fail("platform is unavailable");
        return;
      }
      Optional<Duration> wait = limiter.reserve(longestWait);
      if (wait.isEmpty()) {
        fail("over this instance's read rate");
      } else if (wait.get().isZero()) {
        send();
      } else {
        timer.after(wait.get(), this::send);
      }
    }

    private void send() {
      CompletableFuture<Void> unused = question.ask().thenAccept(this::onReply);
    }

    private void onReply(Reply<T> reply) {
      circuit.observe(reply);
      if (reply instanceof Reply.Answered<T> answered) {
        unshare();
        result.complete(answered.value());
        return;
      }
      Reply.Failed<T> failed = (Reply.Failed<T>) reply;
      Optional<Duration> next = failed.isWorthRepeating() ? retries.next(number) : Optional.empty();
      next.ifPresentOrElse(
          delay -> timer.after(delay, new Attempt<>(question, result, number + 1)::start),
          () -> fail(failed.detail()));
    }

    private void fail(String detail) {
      unshare();
      result.completeExceptionally(circuit.unavailable(detail).toException());
    }

    /** Comes before the end is told, so that a read which the end starts is sent anew. */
    private void unshare() {
      inFlight.remove(question, result);
    }
  }
}
