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

/** Sends requests at fixed times, whether or not earlier ones are answered. */
final class RequestLoad {
  private static final long MAX_MICROS = 60_000_000;
  private static final int DIGITS = 3;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final long NANOS_PER_MICRO = 1_000L;
  private static final int OK = 200;

  private RequestLoad() {}

  /** Sends requests and returns their latencies in microseconds; a failed one is an error. */
  static Histogram run(
      int perSecond, int seconds, IntFunction<CompletableFuture<HttpResponse<String>>> send) {
    Histogram latencies = new ConcurrentHistogram(MAX_MICROS, DIGITS);
    List<CompletableFuture<Void>> open = new ArrayList<>();
    long start = System.nanoTime();
    for (int index = 0; index < perSecond * seconds; index++) {
      long due = start + index * NANOS_PER_SECOND / perSecond;
      LockSupport.parkNanos(Math.max(0, due - System.nanoTime()));
      long sent = System.nanoTime();
      open.add(send.apply(index).thenAccept(answer -> record(latencies, answer, sent)));
    }
    CompletableFuture.allOf(open.toArray(CompletableFuture<?>[]::new)).join();
    return latencies;
  }

  private static void record(Histogram latencies, HttpResponse<String> answer, long sent) {
    if (answer.statusCode() != OK) {
      throw new IllegalStateException(answer.statusCode() + ": " + answer.body());
    }
    latencies.recordValue((System.nanoTime() - sent) / NANOS_PER_MICRO);
  }

  /** Asks an engine directly, as the comparison. */
  static CompletableFuture<HttpResponse<String>> direct(String address, int index) {
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
