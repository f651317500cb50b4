package org.snipewick.store;

import static java.util.concurrent.TimeUnit.SECONDS;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;
import org.snipewick.store.WriteResult.Ambiguous;
import org.snipewick.store.WriteResult.Applied;
import org.snipewick.store.WriteResult.Conflict;
import org.snipewick.store.WriteResult.Rejected;

/** Contract of {@link Table}; the test of each implementation extends this class. */
public abstract class TableContract {
  private static final long TIMEOUT_SECONDS = 20;

  /** Returns the table, empty at the start of each test. */
  protected abstract Table table();

  /** Makes calls fail without effect. */
  protected abstract void failCalls();

  /** Makes writes take effect but loses their responses. */
  protected abstract void loseResponses();

  /** Ends all faults. */
  protected abstract void heal();

  /** Kind of write; replacement and deletion need a row that exists. */
  public enum Kind {
    INSERT,
    REPLACE,
    DELETE;

    Write of(String key, long version, String value) {
      return switch (this) {
        case INSERT -> Write.insert(key, value);
        case REPLACE -> Write.replace(key, version, value);
        case DELETE -> Write.delete(key, version);
      };
    }

    Optional<String> valueAfter(String value) {
      return this == DELETE ? Optional.empty() : Optional.of(value);
    }
  }

  /** Waits for a result and returns it. */
  protected static <T> T await(CompletableFuture<T> future) {
    return future.orTimeout(TIMEOUT_SECONDS, SECONDS).join();
  }

  /** Sends a write, waits for its result and returns it. */
  protected final WriteResult write(Write write) {
    return await(table().write(write));
  }

  /** Returns the content of a row; empty if it does not exist. */
  protected final Optional<String> value(String key) {
    return await(table().read(key)).map(Row::value);
  }

  /** Inserts the row that a write of a kind needs and returns its version, 0 for an insertion. */
  protected final long prepare(Kind kind, String key) {
    return kind == Kind.INSERT ? 0 : ((Applied) write(Write.insert(key, "before"))).version();
  }

  @Test
  void shouldReadNothingWhenRowDoesNotExist() {
    assertThat(await(table().read("absent"))).isEmpty();
    assertThat(await(table().scan("absent"))).isEmpty();
  }

  @ParameterizedTest
  @EnumSource(Kind.class)
  void shouldApplyWhenConditionHolds(Kind kind) {
    long version = prepare(kind, "row");

    assertThat(write(kind.of("row", version, "after"))).isInstanceOf(Applied.class);

    assertThat(value("row")).isEqualTo(kind.valueAfter("after"));
  }

  @ParameterizedTest
  @EnumSource(Kind.class)
  void shouldReturnCurrentRowWhenAnotherWriterWasFirst(Kind kind) {
    long version = prepare(kind, "row");
    Write other = kind == Kind.INSERT ? Write.insert("row", "other") : replacementByOther(version);
    long otherVersion = ((Applied) write(other)).version();

    WriteResult result = write(kind.of("row", version, "after"));

    Row current = new Row("row", otherVersion, "other");
    assertThat(result).isEqualTo(new Conflict(Optional.of(current)));
    assertThat(await(table().read("row"))).contains(current);
  }

  private static Write replacementByOther(long version) {
    return Write.replace("row", version, "other");
  }

  @ParameterizedTest
  @EnumSource(value = Kind.class, names = "INSERT", mode = EnumSource.Mode.EXCLUDE)
  void shouldReturnConflictWithoutRowWhenRowDoesNotExist(Kind kind) {
    assertThat(write(kind.of("row", 1, "after"))).isEqualTo(new Conflict(Optional.empty()));
  }

  @Test
  void shouldReturnNewVersionWhenRowIsWritten() {
    long first = ((Applied) write(Write.insert("row", "one"))).version();
    long second = ((Applied) write(Write.replace("row", first, "two"))).version();

    assertThat(second).isNotEqualTo(first);
    assertThat(await(table().read("row"))).contains(new Row("row", second, "two"));
  }

  @ParameterizedTest
  @ValueSource(strings = {"plain", "a/b", "a b", "a+b", "a%2Fb", "ä?x=1&y#z", "line\nbreak"})
  void shouldKeepKeyAndValueWhenTheyHaveSpecialCharacters(String text) {
    assertThat(write(Write.insert(text, text))).isInstanceOf(Applied.class);

    assertThat(value(text)).contains(text);
    assertThat(await(table().scan(text)).get(0).key()).isEqualTo(text);
  }

  @Test
  void shouldScanInOrderOfKeysWhenRowsSharePrefix() {
    List.of("p/2", "q/1", "p/1", "p/3", "o/9").forEach(key -> write(Write.insert(key, key)));

    assertThat(await(table().scan("p/"))).extracting(Row::key).containsExactly("p/1", "p/2", "p/3");
  }

  @Test
  void shouldApplyOneWriteWhenTwoWritersRace() {
    for (int round = 0; round < 20; round++) {
      String key = "race/" + round;
      CompletableFuture<WriteResult> first = table().write(Write.insert(key, "first"));
      CompletableFuture<WriteResult> second = table().write(Write.insert(key, "second"));
      List<WriteResult> results = List.of(await(first), await(second));

      assertThat(results).hasAtLeastOneElementOfType(Applied.class);
      assertThat(results).hasAtLeastOneElementOfType(Conflict.class);
    }
  }

  @Test
  void shouldReturnOwnResultOfEachWriteWhenManyAreInFlight() {
    write(Write.insert("taken", "before"));
    List<CompletableFuture<WriteResult>> results = new ArrayList<>();
    for (int index = 0; index < 300; index++) {
      String key = index % 3 == 0 ? "taken" : "key/" + index;
      results.add(table().write(Write.insert(key, "value/" + index)));
    }

    for (int index = 0; index < 300; index++) {
      Class<?> expected = index % 3 == 0 ? Conflict.class : Applied.class;
      assertThat(await(results.get(index))).isInstanceOf(expected);
    }
    assertThat(await(table().scan("key/")))
        .allSatisfy(row -> assertThat(row.value()).isEqualTo(row.key().replace("key", "value")))
        .hasSize((int) IntStream.range(0, 300).filter(index -> index % 3 != 0).count());
  }

  @Test
  void shouldApplyWriteWhenConcurrentWriteIsNotValidText() {
    CompletableFuture<WriteResult> malformed = table().write(Write.insert("bad", "\ud800"));
    CompletableFuture<WriteResult> valid = table().write(Write.insert("good", "value"));

    assertThat(await(malformed)).isNotNull();
    assertThat(await(valid)).isInstanceOf(Applied.class);
    assertThat(write(Write.insert("next", "value"))).isInstanceOf(Applied.class);
  }

  @ParameterizedTest
  @EnumSource(Kind.class)
  void shouldRejectWithoutEffectWhenPlatformIsUnavailable(Kind kind) {
    long version = prepare(kind, "row");
    final Optional<String> before = value("row");
    failCalls();

    assertThat(write(kind.of("row", version, "after"))).isInstanceOf(Rejected.class);

    heal();
    assertThat(value("row")).isEqualTo(before);
  }

  @Test
  void shouldFailReadsWhenPlatformIsUnavailable() {
    failCalls();

    assertUnavailable(table().read("row"));
    assertUnavailable(table().scan("row"));
  }

  /** Checks that a call fails because the platform is unavailable. */
  protected static void assertUnavailable(CompletableFuture<?> future) {
    Failure failure =
        future
            .<Failure>handle((value, thrown) -> FailureException.unwrap(thrown))
            .orTimeout(TIMEOUT_SECONDS, SECONDS)
            .join();
    assertThat(failure.type()).isEqualTo(FailureType.PLATFORM_UNAVAILABLE);
  }

  @ParameterizedTest
  @EnumSource(Kind.class)
  void shouldReturnAmbiguousResultWhenResponseOfAppliedWriteIsLost(Kind kind) {
    long version = prepare(kind, "row");
    loseResponses();

    assertThat(write(kind.of("row", version, "after"))).isInstanceOf(Ambiguous.class);

    heal();
    assertThat(value("row")).isEqualTo(kind.valueAfter("after"));
  }
}
