package org.snipewick.store.access;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipewick.event.EventLog;
import org.snipewick.store.Write;
import org.snipewick.store.WriteResult;
import org.snipewick.time.VirtualTimerService;

/** Wait times and rate of the writes of many instances that share a limit, in virtual time. */
class SharedWriteRateTest {
  private static final long SEED = 3;
  private static final double ALL_WRITES_PER_SECOND = 320;
  private static final double ROWS_PER_SECOND = 1_000;
  private static final int LOAD_SECONDS = 20;
  private static final Duration STORE_LATENCY = Duration.ofMillis(10);
  private static final double NANOS_PER_MILLI = 1e6;

  private final VirtualTimerService timer = VirtualTimerService.of(0);
  private final Random random = new Random(SEED);
  private final List<Double> waitsMillis = new ArrayList<>();
  private int calls;
  private int rejected;

  /** In the first cases each instance writes itself; in the last, one writer per domain writes. */
  @ParameterizedTest(name = "{0} writers")
  @CsvSource({"8", "40", "100", "340", "16"})
  void shouldStayWithinSharedRateWhenManyInstancesWrite(int writers) {
    List<WriteBatcher> batchers = new ArrayList<>();
    for (int index = 0; index < writers; index++) {
      batchers.add(batcher(writers));
    }
    int rows = (int) (LOAD_SECONDS * ROWS_PER_SECOND);
    for (int row = 0; row < rows; row++) {
      String key = "row-" + row;
      WriteBatcher batcher = batchers.get(random.nextInt(writers));
      long micros = (long) (random.nextDouble() * LOAD_SECONDS * 1e6);
      timer.after(Duration.ofNanos(micros * 1_000), () -> write(batcher, key));
    }
    timer.advance(Duration.ofSeconds(LOAD_SECONDS));
    final double callsPerSecond = (double) calls / LOAD_SECONDS;
    timer.advance(Duration.ofSeconds(10));

    double[] waits = waitsMillis.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    System.out.printf(
        Locale.ROOT,
        "writers=%d seed=%d rows/s=%.0f calls/s=%.0f wait ms mean=%.0f p99=%.0f rejected=%d%n",
        writers,
        SEED,
        ROWS_PER_SECOND,
        callsPerSecond,
        Arrays.stream(waits).average().orElseThrow(),
        waits[(int) (waits.length * 0.99)],
        rejected);
    assertThat(callsPerSecond)
        .isLessThanOrEqualTo(ALL_WRITES_PER_SECOND * (1 + 0.1 / LOAD_SECONDS) + 1);
    assertThat(waits).hasSize(rows);
    assertThat(rejected).isZero();
  }

  private WriteBatcher batcher(int writers) {
    StoreSettings settings =
        StoreSettings.of("127.0.0.1", 1).withAllWritesPerSecond(ALL_WRITES_PER_SECOND);
    CircuitBreaker circuit =
        new CircuitBreaker(
            settings.circuit(), timer, EventLog.none(), random, CompletableFuture::new);
    return new WriteBatcher(
        settings,
        writes -> commit(),
        timer,
        circuit,
        new RetryPolicy(settings.retry(), random),
        () -> settings.instanceWritesPerSecond(writers));
  }

  private CompletableFuture<StoreResult<TransactionResult>> commit() {
    calls++;
    CompletableFuture<StoreResult<TransactionResult>> result = new CompletableFuture<>();
    timer.after(
        STORE_LATENCY,
        () -> result.complete(new StoreResult.Succeeded<>(new TransactionResult.Committed(1))));
    return result;
  }

  private void write(WriteBatcher batcher, String key) {
    long start = timer.nanoTime();
    var unused =
        batcher
            .add(Write.insert(key, "value"))
            .thenAccept(
                result -> {
                  waitsMillis.add((timer.nanoTime() - start) / NANOS_PER_MILLI);
                  rejected += result instanceof WriteResult.Applied ? 0 : 1;
                });
  }
}
