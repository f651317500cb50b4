package org.snipewick.systemtests.platform;

import static java.util.concurrent.TimeUnit.SECONDS;
import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipewick.event.EventLog;
import org.snipewick.store.AmbiguousWriteResolver;
import org.snipewick.store.Row;
import org.snipewick.store.Table;
import org.snipewick.store.Write;
import org.snipewick.store.WriteResult;
import org.snipewick.store.WriteResult.Ambiguous;
import org.snipewick.store.WriteResult.Applied;
import org.snipewick.store.WriteResult.Conflict;

/**
 * Tests how ambiguous writes are resolved against the stand-in platform, with the faults that make
 * writes ambiguous.
 */
final class AmbiguousWriteResolverFaultsTest {
  private static final String LOST_RESPONSE = "{\"loseAnswers\":true}";
  private static final String LATE_RESPONSE = "{\"delayMillis\":2000}";
  private static final String HANGING_CALL = "{\"hang\":true}";

  private final PlatformFixture fixture =
      PlatformFixture.start(settings -> settings.withTimeoutMillis(1_000));
  private final Table table = fixture.platform().table();
  private final AmbiguousWriteResolver resolver =
      AmbiguousWriteResolver.of(
          table, fixture.timer(), EventLog.none(), new Random(11), Duration.ofSeconds(10));

  @AfterEach
  void stop() {
    fixture.close();
  }

  private static <T> T await(CompletableFuture<T> future) {
    return future.orTimeout(20, SECONDS).join();
  }

  private Write prepareWrite(String kind) {
    if (kind.equals("insert")) {
      return Write.insert("row", "mine");
    }
    long version = ((Applied) await(table.write(Write.insert("row", "before")))).version();
    return kind.equals("replace")
        ? Write.replace("row", version, "mine")
        : Write.delete("row", version);
  }

  private Optional<String> clearFaultsAndReadValue() {
    fixture.setFaults("{}");
    return await(table.read("row")).map(Row::value);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        // write | fault of the write | faults while it is resolved
        "insert  | lost               | {}",
        "replace | lost               | {}",
        "delete  | lost               | {}",
        "insert  | hang               | {}",
        "replace | hang               | {}",
        "delete  | hang               | {}",
        "insert  | late               | {}",
        "replace | late               | {}",
        "delete  | late               | {}",
        "insert  | lost               | {\"staleReads\":true,\"staleMillis\":60000}",
        "replace | lost               | {\"staleReads\":true,\"staleMillis\":60000}",
        "insert  | hang               | {\"staleReads\":true,\"staleMillis\":60000}",
        "insert  | lost               | {\"loseAnswers\":true}",
        "replace | lost               | {\"loseAnswers\":true}",
      })
  void shouldResolveToAppliedWhenResponseIsMissing(
      String kind, String fault, String faultsWhileResolving) {
    final Write write = prepareWrite(kind);
    fixture.setFaults(faultsNamed(fault));
    assertThat(await(table.write(write))).isInstanceOf(Ambiguous.class);
    fixture.setFaults(faultsWhileResolving);

    WriteResult result = await(resolver.resolve(write, row -> row.value().equals("mine")));

    assertThat(result).isInstanceOf(Applied.class);
    assertThat(clearFaultsAndReadValue())
        .isEqualTo(kind.equals("delete") ? Optional.empty() : Optional.of("mine"));
  }

  @ParameterizedTest
  @CsvSource({"insert", "replace"})
  void shouldResolveToConflictWhenAnotherWriterWasFirst(String kind) {
    Write write = prepareWrite(kind);
    fixture.setFaults(HANGING_CALL);
    assertThat(await(table.write(write))).isInstanceOf(Ambiguous.class);
    fixture.setFaults("{}");
    Write other =
        write instanceof Write.Replace replace
            ? Write.replace("row", replace.version(), "other")
            : Write.insert("row", "other");
    assertThat(await(table.write(other))).isInstanceOf(Applied.class);

    WriteResult result = await(resolver.resolve(write, row -> row.value().equals("mine")));

    assertThat(result).isInstanceOf(Conflict.class);
    assertThat(clearFaultsAndReadValue()).contains("other");
  }

  private static String faultsNamed(String name) {
    return switch (name) {
      case "lost" -> LOST_RESPONSE;
      case "late" -> LATE_RESPONSE;
      default -> HANGING_CALL;
    };
  }
}
