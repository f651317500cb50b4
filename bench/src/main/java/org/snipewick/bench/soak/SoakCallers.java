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
 * Callers that ask one thing after the other, each through any instance, and repeat what failed.
 */
final class SoakCallers {
  private static final List<Attempt.Kind> KINDS = List.of(Attempt.Kind.values());
  private static final int CALLERS = 10;
  private static final int MOST_ATTEMPTS = 5;
  private static final int MOST_TOKENS = 60;
  private static final long PAUSE_NANOS = 50_000_000L;
  private static final long REPEAT_NANOS = 400_000_000L;

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

  /** Lets each caller end what it has begun, and returns all calls. */
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
    private int count;

    Caller(int number) {
      this.number = number;
      this.random = new Random(seed * CALLERS + number);
    }

    void run() {
      while (!stopping.get()) {
        ask();
        LockSupport.parkNanos(PAUSE_NANOS);
      }
    }

    private void ask() {
      Attempt.Kind kind = KINDS.get(random.nextInt(KINDS.size()));
      String home = random.nextBoolean() ? "" : random.nextBoolean() ? "linz." : "wien-a.";
      String name = home + "s" + seed + "-" + number + "-" + count++;
      Attempt.Request request =
          new Attempt.Request(kind, name, kind != Attempt.Kind.BOOKING && random.nextBoolean());
      int tokens = 1 + random.nextInt(MOST_TOKENS);
      int most = kind == Attempt.Kind.PLAIN_QUESTION ? 1 : MOST_ATTEMPTS;
      boolean repeatsSuccess = random.nextInt(4) == 0;
      for (int attempt = 0; attempt < most; attempt++) {
        Attempt made = attempt(request, tokens);
        attempts.add(made);
        if (made.succeeded() && !repeatsSuccess) {
          return;
        }
        LockSupport.parkNanos(REPEAT_NANOS);
      }
    }

    private Attempt attempt(Attempt.Request request, int tokens) {
      String instance = SoakCluster.INSTANCES.get(random.nextInt(SoakCluster.INSTANCES.size()));
      long start = System.nanoTime();
      try {
        HttpResponse<String> answer = send(request, instance, tokens).join();
        return new Attempt(request, instance, start, System.nanoTime(), Optional.of(answer), "");
      } catch (CompletionException broken) {
        String failure = String.valueOf(broken.getCause());
        return new Attempt(request, instance, start, System.nanoTime(), Optional.empty(), failure);
      }
    }

    private CompletableFuture<HttpResponse<String>> send(
        Attempt.Request request, String instance, int tokens) {
      String time = Long.toString(Promises.AGREED_TIME.toMillis());
      return switch (request.kind()) {
        case BOOKING ->
            cluster.call(
                "POST",
                instance,
                "/services/orders/bookings",
                "{\"booking\":\"%s\",\"mark\":\"%s\"}"
                    .formatted(request.name(), Attempt.mark(request)),
                Map.of("Idempotency-Key", request.name(), "Snipewick-Timeout-Ms", time));
        case KEYED_QUESTION ->
            question(
                request,
                instance,
                tokens,
                Map.of("Idempotency-Key", request.name(), "Snipewick-Timeout-Ms", time));
        case PLAIN_QUESTION ->
            question(request, instance, tokens, Map.of("Snipewick-Timeout-Ms", time));
      };
    }

    private CompletableFuture<HttpResponse<String>> question(
        Attempt.Request request, String instance, int tokens, Map<String, String> headers) {
      return cluster.model(instance, Attempt.mark(request), tokens, request.streamed(), headers);
    }
  }
}
