package org.snipewick.store.http;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.snipewick.failure.Outcome;
import org.snipewick.store.ObjectStore;
import org.snipewick.time.TimerService;

/**
 * The platform's object store over HTTP. A write whose answer is lost is not repeated, as a later
 * write could be overwritten by the repeat; it fails with outcome unknown.
 */
public final class HttpObjectStore implements ObjectStore {
  private static final String OBJECTS = "/objects/";

  private final Reads reads;
  private final Transport transport;
  private final TimerService timer;
  private final CircuitBreaker circuit;
  private final RetryPolicy retries;

  HttpObjectStore(
      Reads reads,
      Transport transport,
      TimerService timer,
      CircuitBreaker circuit,
      RetryPolicy retries) {
    this.reads = requireNonNull(reads, "reads");
    this.transport = requireNonNull(transport, "transport");
    this.timer = requireNonNull(timer, "timer");
    this.circuit = requireNonNull(circuit, "circuit");
    this.retries = requireNonNull(retries, "retries");
  }

  @Override
  public CompletableFuture<Optional<byte[]>> get(String name) {
    return reads
        .get(path(name))
        .thenApply(
            answer ->
                answer.status() == Reply.NOT_FOUND ? Optional.empty() : Optional.of(answer.body()));
  }

  @Override
  public CompletableFuture<Void> put(String name, byte[] content) {
    String path = path(name);
    byte[] copy = content.clone();
    CompletableFuture<Void> result = new CompletableFuture<>();
    retries.recordFirstAttempt();
    send(path, copy, 1, result);
    return result.whenComplete((done, failure) -> reads.separate(path));
  }

  private void send(String path, byte[] content, int attempt, CompletableFuture<Void> result) {
    if (!circuit.isAvailable()) {
      result.completeExceptionally(circuit.unavailable("platform is unavailable").toException());
      return;
    }
    transport
        .send("PUT", path, content)
        .thenAccept(reply -> onReply(path, content, attempt, result, reply));
  }

  private void onReply(
      String path, byte[] content, int attempt, CompletableFuture<Void> result, Reply reply) {
    circuit.observe(reply);
    if (reply instanceof Reply.Answered answered && answered.status() < Reply.REDIRECTION) {
      result.complete(null);
      return;
    }
    Optional<Duration> delay =
        reply.hadNoEffect() && reply.isWorthRepeating() ? retries.next(attempt) : Optional.empty();
    if (delay.isPresent()) {
      timer.after(delay.get(), () -> send(path, content, attempt + 1, result));
      return;
    }
    Outcome outcome = reply.hadNoEffect() ? Outcome.NOT_RUN : Outcome.UNKNOWN;
    result.completeExceptionally(
        circuit.unavailable(reply.detail()).withOutcome(outcome).toException());
  }

  private static String path(String name) {
    return OBJECTS + Transport.encode(requireNonNull(name, "name"));
  }
}
