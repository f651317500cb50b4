package org.snipewick.store;

import static java.util.concurrent.TimeUnit.SECONDS;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;
import org.snipewick.failure.Outcome;

/** Contract of {@link ObjectStore}; the test of each implementation extends this class. */
public abstract class ObjectStoreContract {
  private static final long TIMEOUT_SECONDS = 20;

  /** Returns the store, empty at the start of each test. */
  protected abstract ObjectStore objects();

  /** Makes calls fail without effect. */
  protected abstract void failCalls();

  /** Makes writes take effect but loses their responses. */
  protected abstract void loseResponses();

  /** Ends all faults. */
  protected abstract void heal();

  private static <T> T await(CompletableFuture<T> future) {
    return future.orTimeout(TIMEOUT_SECONDS, SECONDS).join();
  }

  private static Failure failure(CompletableFuture<?> future) {
    return await(future.handle((value, thrown) -> FailureException.unwrap(thrown)));
  }

  @Test
  void shouldReadNothingWhenObjectDoesNotExist() {
    assertThat(await(objects().get("absent"))).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(strings = {"plain", "a/b c", "ä%2F+?"})
  void shouldReadLatestContentWhenObjectIsReplaced(String name) {
    await(objects().put(name, new byte[] {1}));
    await(objects().put(name, new byte[] {0, -1, 127}));

    assertThat(await(objects().get(name)).orElseThrow()).containsExactly(0, -1, 127);
  }

  @Test
  void shouldFailWithoutEffectWhenPlatformIsUnavailable() {
    failCalls();

    Failure failure = failure(objects().put("name", new byte[] {1}));
    final Failure read = failure(objects().get("name"));

    heal();
    assertThat(failure.type()).isEqualTo(FailureType.PLATFORM_UNAVAILABLE);
    assertThat(failure.outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(read.type()).isEqualTo(FailureType.PLATFORM_UNAVAILABLE);
    assertThat(await(objects().get("name"))).isEmpty();
  }

  @Test
  void shouldFailWithUnknownOutcomeWhenResponseIsLost() {
    loseResponses();

    Failure failure = failure(objects().put("name", new byte[] {1}));

    assertThat(failure.type()).isEqualTo(FailureType.PLATFORM_UNAVAILABLE);
    assertThat(failure.outcome()).isEqualTo(Outcome.UNKNOWN);
  }
}
