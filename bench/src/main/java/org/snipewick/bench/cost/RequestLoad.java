package org.snipewick.bench.cost;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import java.util.function.IntFunction;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.snipewick.bench.cluster.Http;

/** Sends requests at a constant rate, whether or not earlier ones are answered. */
final class RequestLoad {
  private static final long MAX_LATENCY_MICROS = 60_000_000;
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final long NANOS_PER_MICRO = 1_000L;
  private static final int HTTP_OK = 200;

  private RequestLoad() {}

  /**
   * Sends requests, waits for all answers, and returns the latencies in microseconds.
   *
   * @param send sends the request with the given index, from 0
   * @throws java.util.concurrent.CompletionException if a request fails or its answer does not have
   *     status 200
   */
  static Histogram run(
      int requestsPerSecond,
      int seconds,
      IntFunction<CompletableFuture<HttpResponse<String>>> send) {
    Histogram latencyMicros = new ConcurrentHistogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
    List<CompletableFuture<Void>> pending = new ArrayList<>();
    long startNanos = System.nanoTime();
    for (int index = 0; index < requestsPerSecond * seconds; index++) {
      long dueNanos = startNanos + index * NANOS_PER_SECOND / requestsPerSecond;
      LockSupport.parkNanos(Math.max(0, dueNanos - System.nanoTime()));
      long sentNanos = System.nanoTime();
      pending.add(
          send.apply(index).thenAccept(answer -> recordLatency(latencyMicros, answer, sentNanos)));
    }
    CompletableFuture.allOf(pending.toArray(CompletableFuture<?>[]::new)).join();
    return latencyMicros;
  }

  private static void recordLatency(
      Histogram latencyMicros, HttpResponse<String> answer, long sentNanos) {
    if (answer.statusCode() != HTTP_OK) {
      throw new IllegalStateException(
          "request answered with HTTP status " + answer.statusCode() + ": " + answer.body());
    }
    latencyMicros.recordValue((System.nanoTime() - sentNanos) / NANOS_PER_MICRO);
  }

  /** Sends a request directly to an engine, to compare its latency with that of the cluster. */
  static CompletableFuture<HttpResponse<String>> sendDirect(String address, int index) {
    String body =
        "{\"model\":\"planner\",\"max_tokens\":2,"
            + "\"messages\":[{\"role\":\"user\",\"content\":\"tank\"}]}";
    return Http.send(
        "POST",
        "http://" + address + "/v1/chat/completions",
        body,
        Map.of("X-Request-Id", "direct-" + index));
  }
}
