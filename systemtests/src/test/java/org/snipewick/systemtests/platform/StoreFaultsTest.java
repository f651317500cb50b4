package org.snipewick.systemtests.platform;

import static java.util.concurrent.TimeUnit.SECONDS;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipewick.store.Row;
import org.snipewick.store.Table;
import org.snipewick.store.Write;
import org.snipewick.store.WriteResult;
import org.snipewick.store.WriteResult.Ambiguous;
import org.snipewick.store.WriteResult.Applied;
import org.snipewick.store.WriteResult.Rejected;
import org.snipewick.store.access.StoreSettings;
import org.snipewick.store.access.StoreSettings.Batching;
import org.snipewick.store.access.StoreSettings.Retry;

/**
 * Tests the access to the store under faults that only occur over a network, and under its limits.
 */
final class StoreFaultsTest {
  private static final Retry NO_RETRY = new Retry(1, 1, 1, 0);
  private PlatformFixture fixture;

  private Table start(UnaryOperator<StoreSettings> change) {
    fixture = PlatformFixture.start(change);
    return fixture.platform().table();
  }

  @AfterEach
  void stop() {
    fixture.close();
  }

  private static <T> T await(CompletableFuture<T> future) {
    return future.orTimeout(20, SECONDS).join();
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        // faults                  | result of a write | is it stored
        "{}                        | Applied           | true",
        "{\"delayMillis\":100}     | Applied           | true",
        "{\"outage\":true}         | Rejected          | false",
        "{\"refuse\":true}         | Rejected          | false",
        "{\"hang\":true}           | Ambiguous         | false",
        "{\"loseAnswers\":true}    | Ambiguous         | true",
      })
  void shouldClassifyWriteResultWhenPlatformFails(
      String faults, String expectedResult, boolean isStored) {
    Table table = start(settings -> settings.withTimeoutMillis(1_500).withRetry(NO_RETRY));
    fixture.setFaults(faults);

    WriteResult actual = await(table.write(Write.insert("row", "value")));

    fixture.setFaults("{}");
    assertThat(actual.getClass().getSimpleName()).isEqualTo(expectedResult);
    assertThat(await(table.read("row")).isPresent()).isEqualTo(isStored);
  }

  @Test
  void shouldReturnAmbiguousWhenWriteIsAppliedAfterTimeout() {
    Table table = start(settings -> settings.withTimeoutMillis(1_000).withRetry(NO_RETRY));
    fixture.setFaults("{\"delayMillis\":2000}");

    assertThat(await(table.write(Write.insert("row", "value")))).isInstanceOf(Ambiguous.class);

    fixture.setFaults("{}");
    Stream<List<Row>> scans = Stream.generate(() -> await(table.scan("row")));
    assertThat(scans.filter(rows -> !rows.isEmpty()).findFirst()).isPresent();
  }

  @Test
  void shouldApplyOnceWhenResponseIsLostAndWriteIsAppliedLater() {
    Table table = start(settings -> settings.withRetry(NO_RETRY));
    fixture.setFaults("{\"lateMillis\":500}");

    final WriteResult first = await(table.write(Write.insert("row", "first")));
    fixture.setFaults("{}");
    final boolean isStoredAtOnce = await(table.read("row")).isPresent();
    Stream<Optional<Row>> reads = Stream.generate(() -> await(table.read("row")));
    Row lateRow = reads.flatMap(Optional::stream).findFirst().orElseThrow();

    assertThat(first).isInstanceOf(Ambiguous.class);
    assertThat(isStoredAtOnce).isFalse();
    assertThat(lateRow.value()).isEqualTo("first");
    assertThat(await(table.write(Write.insert("row", "second"))))
        .isEqualTo(new WriteResult.Conflict(Optional.of(lateRow)));
  }

  @Test
  void shouldRejectOnlyOversizedWritesWhenWritesShareOneCall() {
    Table table = start(settings -> settings);
    var writes =
        List.of(
            table.write(Write.insert("k".repeat(201), "value")),
            table.write(Write.insert("long", "v".repeat(65_537))),
            table.write(Write.insert("longest", "v".repeat(65_536))),
            table.write(Write.insert("row", "value")));

    assertThat(writes.stream().map(StoreFaultsTest::await))
        .hasExactlyElementsOfTypes(Rejected.class, Rejected.class, Applied.class, Applied.class);
  }

  @Test
  void shouldReturnResultOfEachWriteWhenOneInTheCallConflicts() {
    Table table = start(settings -> settings);
    await(table.write(Write.insert("row/3", "there")));

    var writes =
        IntStream.range(0, 10)
            .mapToObj(index -> table.write(Write.insert("row/" + index, "value")))
            .toList();

    assertThat(writes.stream().map(StoreFaultsTest::await).map(Applied.class::isInstance))
        .containsExactly(true, true, true, false, true, true, true, true, true, true);
  }

  @Test
  void shouldRejectWhenConnectionIsRefused() {
    Table table = start(settings -> settings.withRetry(NO_RETRY));
    fixture.stopPlatform();

    assertThat(await(table.write(Write.insert("row", "value")))).isInstanceOf(Rejected.class);
  }

  @Test
  void shouldSendOneCallWhenEqualReadsAreInFlight() {
    Table table = start(settings -> settings);
    fixture.setFaults("{\"delayMillis\":300}");

    var reads = IntStream.range(0, 50).mapToObj(index -> table.read("row")).toList();
    reads.forEach(StoreFaultsTest::await);

    assertThat(fixture.counts().path("reads").asInt()).isEqualTo(1);
  }

  @Test
  void shouldReturnAppliedForExactlyTheStoredRowsWhenRateIsExceeded() {
    fixture =
        PlatformFixture.start(
            20,
            0,
            settings ->
                settings
                    .withRates(1_000, 1_000)
                    .withRetry(NO_RETRY)
                    .withBatching(new Batching(1, 0, 1_000)));
    Table table = fixture.platform().table();

    var writes =
        IntStream.range(0, 60)
            .mapToObj(index -> table.write(Write.insert("row/" + index, "value")))
            .toList();
    var results = writes.stream().map(StoreFaultsTest::await).toList();

    long applied = results.stream().filter(Applied.class::isInstance).count();
    assertThat(results).hasAtLeastOneElementOfType(Rejected.class);
    assertThat(results).hasOnlyElementsOfTypes(Applied.class, Rejected.class);
    assertThat(fixture.counts().path("rows").asLong()).isEqualTo(applied);
  }

  @Test
  void shouldStayBelowPlatformRateWhenManyWritersCompete() {
    fixture =
        PlatformFixture.start(
            50, 0, settings -> settings.withTimeoutMillis(10_000).withRates(40, 1_000));
    Table table = fixture.platform().table();

    var writes =
        IntStream.range(0, 2_000)
            .mapToObj(index -> table.write(Write.insert("row/" + index, "value")))
            .toList();

    assertThat(writes.stream().map(StoreFaultsTest::await)).hasOnlyElementsOfType(Applied.class);
    assertThat(fixture.counts().path("writes").asInt())
        .isLessThanOrEqualTo(2_000 / Batching.defaults().maxRows() * 3 / 2);
  }

  @Test
  void shouldRejectAtOnceWhenTooManyWritesAreQueued() {
    Table table = start(settings -> settings.withBatching(new Batching(10, 0, 20)));
    fixture.setFaults("{\"hang\":true}");

    var writes =
        IntStream.range(0, 100)
            .mapToObj(index -> table.write(Write.insert("row/" + index, "value")))
            .toList();

    long rejected = writes.stream().filter(write -> write.getNow(null) != null).count();
    assertThat(rejected).isGreaterThanOrEqualTo(60);
  }

  @Test
  void shouldReturnOlderStateWhenReadsAreStale() {
    Table table = start(settings -> settings);
    await(table.write(Write.insert("row", "value")));
    fixture.setFaults("{\"staleReads\":true,\"staleMillis\":60000}");

    assertThat(await(table.read("row"))).isEmpty();
  }
}
