package org.snipewick.store.access;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.snipewick.failure.Outcome;
import org.snipewick.store.ObjectStore;
import org.snipewick.time.TimerService;

/**
 * Object store with retries. A write whose response is lost is not retried, as the retry could
 * overwrite a later write; it fails with an unknown outcome.
 */
public final class StoreObjects implements ObjectStore {
  private final StoreCalls calls;
  private final ReadCoalescer reads;
  private final TimerService timer;
  private final CircuitBreaker circuit;
  private final RetryPolicy retries;

  StoreObjects(
      StoreCalls calls,
      ReadCoalescer reads,
      TimerService timer,
      CircuitBreaker circuit,
      RetryPolicy retries) {
    this.calls = requireNonNull(calls, "calls");
    this.reads = requireNonNull(reads, "reads");
    this.timer = requireNonNull(timer, "timer");
    this.circuit = requireNonNull(circuit, "circuit");
    this.retries = requireNonNull(retries, "retries");
  }

  private record ContentQuery(StoreCalls calls, String name)
      implements ReadCoalescer.Query<Optional<byte[]>> {

    @Override
    public CompletableFuture<StoreResult<Optional<byte[]>>> send() {
      return calls.object(name);
    }
  }

  @Override
  public CompletableFuture<Optional<byte[]>> get(String name) {
    return reads.get(new ContentQuery(calls, requireNonNull(name, "name")));
  }

  @Override
  public CompletableFuture<Void> put(String name, byte[] content) {
    requireNonNull(name, "name");
    CompletableFuture<Void> result = new CompletableFuture<>();
    retries.recordFirstAttempt();
    send(name, content.clone(), 1, result);
    return result.whenComplete(
        (done, failure) ->
            reads.stopSharing(
                read -> read instanceof ContentQuery other && other.name().equals(name)));
  }

  private void send(String name, byte[] content, int attempt, CompletableFuture<Void> result) {
    if (!circuit.isAvailable()) {
      result.completeExceptionally(circuit.unavailable("platform is unavailable").toException());
      return;
    }
    CompletableFuture<Void> unused =
        calls
            .putObject(name, content)
            .thenAccept(storeResult -> onStoreResult(name, content, attempt, result, storeResult));
  }

  private void onStoreResult(
      String name,
      byte[] content,
      int attempt,
      CompletableFuture<Void> result,
      StoreResult<String> storeResult) {
    circuit.observe(storeResult);
    if (!(storeResult instanceof StoreResult.Failed<String> failed)) {
      result.complete(null);
      return;
    }
    Optional<Duration> delay =
        failed.hadNoEffect() && failed.isRetryable()
            ? retries.nextDelay(attempt)
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
