package org.snipewick.store.access;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.snipewick.failure.Outcome;
import org.snipewick.store.ObjectStore;
import org.snipewick.time.TimerService;

/**
 * Objects in the store. A write whose answer is lost is not repeated, as a later write could be
 * overwritten by the repeat; it fails with outcome unknown.
 */
public final class StoreObjects implements ObjectStore {
  private final StoreCalls calls;
  private final Reads reads;
  private final TimerService timer;
  private final CircuitBreaker circuit;
  private final RetryPolicy retries;

  StoreObjects(
      StoreCalls calls,
      Reads reads,
      TimerService timer,
      CircuitBreaker circuit,
      RetryPolicy retries) {
    this.calls = requireNonNull(calls, "calls");
    this.reads = requireNonNull(reads, "reads");
    this.timer = requireNonNull(timer, "timer");
    this.circuit = requireNonNull(circuit, "circuit");
    this.retries = requireNonNull(retries, "retries");
  }

  private record Content(StoreCalls calls, String name)
      implements Reads.Question<Optional<byte[]>> {

    @Override
    public CompletableFuture<Reply<Optional<byte[]>>> ask() {
      return calls.object(name);
    }
  }

  @Override
  public CompletableFuture<Optional<byte[]>> get(String name) {
    return reads.get(new Content(calls, requireNonNull(name, "name")));
  }

  @Override
  public CompletableFuture<Void> put(String name, byte[] content) {
    requireNonNull(name, "name");
    CompletableFuture<Void> result = new CompletableFuture<>();
    retries.recordFirstAttempt();
    send(name, content.clone(), 1, result);
    return result.whenComplete(
        (done, failure) ->
            reads.separate(read -> read instanceof Content other && other.name().equals(name)));
  }

  private void send(String name, byte[] content, int attempt, CompletableFuture<Void> result) {
    if (!circuit.isAvailable()) {
      result.completeExceptionally(circuit.unavailable("platform is unavailable").toException());
      return;
    }
    CompletableFuture<Void> unused =
        calls
            .putObject(name, content)
            .thenAccept(reply -> onReply(name, content, attempt, result, reply));
  }

  private void onReply(
      String name,
      byte[] content,
      int attempt,
      CompletableFuture<Void> result,
      Reply<String> reply) {
    circuit.observe(reply);
    if (!(reply instanceof Reply.Failed<String> failed)) {
      result.complete(null);
      return;
    }
    Optional<Duration> delay =
        failed.hadNoEffect() && failed.isWorthRepeating()
            ? retries.next(attempt)
            : Optional.empty();
    if (delay.isPresent()) {
      timer.after(delay.get(), () -> send(name, content, attempt + 1, result));
      return;
    }
    Outcome outcome = failed.hadNoEffect() ? Outcome.NOT_RUN : Outcome.UNKNOWN;
    result.completeExceptionally(
        circuit.unavailable(failed.detail()).withOutcome(outcome).toException());
  }
}
