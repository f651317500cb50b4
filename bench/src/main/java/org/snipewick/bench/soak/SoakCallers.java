package org.snipewick.bench.soak;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import org.snipewick.bench.cluster.Cluster;

/**
 * Callers that send one request after the other, each to a random instance, and retry failed ones.
 */
final class SoakCallers {
  private static final List<Attempt.Kind> KINDS = List.of(Attempt.Kind.values());
  private static final int CALLERS = 10;
  private static final int MAX_ATTEMPTS = 5;
  private static final int MAX_OUTPUT_TOKENS = 60;
  private static final long PAUSE_BETWEEN_REQUESTS_NANOS = 50_000_000L;
  private static final long RETRY_DELAY_NANOS = 400_000_000L;

  private final Cluster cluster;
  private final long seed;
  private final AtomicBoolean stopping = new AtomicBoolean();
  private final Queue<Attempt> attempts = new ConcurrentLinkedQueue<>();
  private final List<Thread> threads = new ArrayList<>();

  private SoakCallers(Cluster cluster, long seed) {
    this.cluster = cluster;
    this.seed = seed;
  }

  static SoakCallers start(Cluster cluster, long seed) {
    SoakCallers callers = new SoakCallers(cluster, seed);
    for (int number = 0; number < CALLERS; number++) {
      Caller caller = callers.new Caller(number);
      Thread thread = new Thread(caller::run, "caller-" + number);
      callers.threads.add(thread);
      thread.start();
    }
    return callers;
  }

  /** Waits until each caller has ended its current request, and returns all attempts. */
  Collection<Attempt> stop() throws InterruptedException {
    stopping.set(true);
    for (Thread thread : threads) {
      thread.join();
    }
    return List.copyOf(attempts);
  }

  private final class Caller {
    private final int number;
    private final Random random;
    private int requestCount;

    Caller(int number) {
      this.number = number;
      this.random = new Random(seed * CALLERS + number);
    }

    void run() {
      while (!stopping.get()) {
        sendRequest();
        LockSupport.parkNanos(PAUSE_BETWEEN_REQUESTS_NANOS);
      }
    }

    private void sendRequest() {
      Attempt.Kind kind = KINDS.get(random.nextInt(KINDS.size()));
      String domainPrefix = random.nextBoolean() ? "" : random.nextBoolean() ? "linz." : "wien-a.";
      String name = domainPrefix + "s" + seed + "-" + number + "-" + requestCount++;
      Attempt.Request request =
          new Attempt.Request(kind, name, kind != Attempt.Kind.BOOKING && random.nextBoolean());
      int maxTokens = 1 + random.nextInt(MAX_OUTPUT_TOKENS);
      int maxAttempts = kind == Attempt.Kind.PLAIN_QUESTION ? 1 : MAX_ATTEMPTS;
      boolean alsoRepeatsSuccess = random.nextInt(4) == 0;
      for (int attempt = 0; attempt < maxAttempts; attempt++) {
        Attempt result = makeAttempt(request, maxTokens);
        attempts.add(result);
        if (result.succeeded() && !alsoRepeatsSuccess) {
          return;
        }
        LockSupport.parkNanos(RETRY_DELAY_NANOS);
      }
    }

    private Attempt makeAttempt(Attempt.Request request, int maxTokens) {
      String instance = SoakCluster.INSTANCES.get(random.nextInt(SoakCluster.INSTANCES.size()));
      long startNanos = System.nanoTime();
      try {
        HttpResponse<String> response = send(request, instance, maxTokens).join();
        return new Attempt(
            request, instance, startNanos, System.nanoTime(), Optional.of(response), "");
      } catch (CompletionException broken) {
        String failure = String.valueOf(broken.getCause());
        return new Attempt(
            request, instance, startNanos, System.nanoTime(), Optional.empty(), failure);
      }
    }

    private CompletableFuture<HttpResponse<String>> send(
        Attempt.Request request, String instance, int maxTokens) {
      String timeoutMillis = Long.toString(Guarantees.REQUEST_TIMEOUT.toMillis());
      return switch (request.kind()) {
        case BOOKING ->
            cluster.sendRequest(
                "POST",
                instance,
                "/services/orders/bookings",
                "{\"booking\":\"%s\",\"mark\":\"%s\"}"
                    .formatted(request.name(), Attempt.marker(request)),
                Map.of("Idempotency-Key", request.name(), "Snipewick-Timeout-Ms", timeoutMillis));
        case KEYED_QUESTION ->
            sendQuestion(
                request,
                instance,
                maxTokens,
                Map.of("Idempotency-Key", request.name(), "Snipewick-Timeout-Ms", timeoutMillis));
        case PLAIN_QUESTION ->
            sendQuestion(
                request, instance, maxTokens, Map.of("Snipewick-Timeout-Ms", timeoutMillis));
      };
    }

    private CompletableFuture<HttpResponse<String>> sendQuestion(
        Attempt.Request request, String instance, int maxTokens, Map<String, String> headers) {
      return cluster.sendChatRequest(
          instance, Attempt.marker(request), maxTokens, request.streamed(), headers);
    }
  }
}
