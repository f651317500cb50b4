package org.snipewick.systemtests.platform;

import static java.util.concurrent.TimeUnit.SECONDS;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.snipewick.store.Table;
import org.snipewick.store.Write;
import org.snipewick.store.WriteResult.Applied;
import org.snipewick.store.access.StoreSettings.Batching;

/** Measures rows written per second under the platform's write rate, with and without batches. */
final class WriteThroughputTest {
  private static final int WRITERS = 400;
  private static final double CALLS_PER_SECOND = 100;
  private static final long RUN_NANOS = 2_000_000_000L;

  @Test
  void shouldWriteManyMoreRowsPerSecondWhenRowsShareCalls() {
    double single = rowsPerSecond(new Batching(1, 0, 5_000));
    double batched = rowsPerSecond(Batching.defaults());

    System.out.printf(
        "rows/s at %.0f calls/s, %d writers: single %.0f, batched %.0f%n",
        CALLS_PER_SECOND, WRITERS, single, batched);
    assertThat(batched).isGreaterThan(20 * single);
  }

  private static double rowsPerSecond(Batching batching) {
    try (PlatformFixture fixture =
        PlatformFixture.start(
            settings ->
                settings
                    .withTimeoutMillis(20_000)
                    .withRates(CALLS_PER_SECOND, 1_000)
                    .withBatching(batching))) {
      Table table = fixture.platform().table();
      AtomicInteger applied = new AtomicInteger();
      long startNanos = System.nanoTime();
      List<CompletableFuture<Void>> writers =
          IntStream.range(0, WRITERS)
              .mapToObj(writer -> writeUntil(table, writer, 0, applied, startNanos + RUN_NANOS))
              .toList();
      writers.forEach(writer -> writer.orTimeout(60, SECONDS).join());
      return applied.get() * 1e9 / (System.nanoTime() - startNanos);
    }
  }

  private static CompletableFuture<Void> writeUntil(
      Table table, int writer, int sequence, AtomicInteger applied, long endNanos) {
    if (System.nanoTime() > endNanos) {
      return CompletableFuture.completedFuture(null);
    }
    return table
        .write(Write.insert(writer + "/" + sequence, "value"))
        .thenCompose(
            result -> {
              assertThat(result).isInstanceOf(Applied.class);
              applied.incrementAndGet();
              return writeUntil(table, writer, sequence + 1, applied, endNanos);
            });
  }
}
