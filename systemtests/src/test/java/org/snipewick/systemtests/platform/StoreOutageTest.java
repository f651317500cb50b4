package org.snipewick.systemtests.platform;

import static java.util.concurrent.TimeUnit.SECONDS;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.event.EventType;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;
import org.snipewick.store.Table;
import org.snipewick.store.Write;
import org.snipewick.store.WriteResult;
import org.snipewick.store.WriteResult.Applied;
import org.snipewick.store.WriteResult.Rejected;
import org.snipewick.store.access.StoreSettings;

/**
 * Tests that calls fail at once while the platform is unavailable, and that probes detect the end
 * of the outage.
 */
final class StoreOutageTest {
  private static final int MAX_CALLS_UNTIL_UNAVAILABLE = 10;

  private final PlatformFixture fixture =
      PlatformFixture.start(
          settings ->
              settings
                  .withTimeoutMillis(2_000)
                  .withCircuit(new StoreSettings.Circuit(3, 50))
                  .withRetry(new StoreSettings.Retry(2, 5, 10, 0.2)));
  private final Table table = fixture.platform().table();

  @AfterEach
  void stop() {
    fixture.close();
  }

  private static <T> T await(CompletableFuture<T> future) {
    return future.orTimeout(20, SECONDS).join();
  }

  @ParameterizedTest
  @ValueSource(strings = {"{\"outage\":true}", "{\"hang\":true}", "{\"delayMillis\":5000}"})
  void shouldFailAtOnceUntilPlatformRecoversWhenItIsUnavailable(String faults) {
    fixture.setFaults(faults);
    for (int call = 0;
        call < MAX_CALLS_UNTIL_UNAVAILABLE && fixture.platform().health().isAvailable();
        call++) {
      await(table.read("row").handle((row, thrown) -> thrown));
    }
    fixture.awaitEvent(EventType.PLATFORM_LOST);

    CompletableFuture<?> read = table.read("row");
    CompletableFuture<WriteResult> write = table.write(Write.insert("row", "value"));

    assertThat(read).isCompletedExceptionally();
    Failure failure = read.handle((row, thrown) -> FailureException.unwrap(thrown)).join();
    assertThat(failure.type()).isEqualTo(FailureType.PLATFORM_UNAVAILABLE);
    assertThat(failure.retryAfter()).isPresent();
    assertThat(write.getNow(null)).isInstanceOf(Rejected.class);

    fixture.setFaults("{}");
    fixture.awaitEvent(EventType.PLATFORM_REGAINED);
    assertThat(fixture.platform().health().isAvailable()).isTrue();
    assertThat(await(table.write(Write.insert("row", "value")))).isInstanceOf(Applied.class);
  }
}
