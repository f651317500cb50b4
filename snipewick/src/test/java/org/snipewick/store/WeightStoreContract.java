package org.snipewick.store;

import static java.util.concurrent.TimeUnit.SECONDS;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;
import org.snipewick.failure.Outcome;

/** Contract of {@link WeightStore}; the test of each implementation extends this class. */
public abstract class WeightStoreContract {
  private static final long TIMEOUT_SECONDS = 20;

  /** Returns the store under test. */
  protected abstract WeightStore weights();

  /** Makes the store contain exactly these weights. */
  protected abstract void store(List<String> names);

  /** Makes calls fail without effect. */
  protected abstract void failCalls();

  /** Makes the store exceed its read rate, so that it serves no read before a call times out. */
  protected abstract void exceedRate();

  @ParameterizedTest
  @ValueSource(strings = {"routeplanner", "wick/adapter 7", "ä%2F+?"})
  void shouldReturnWhetherWeightsExistWhenQueried(String name) {
    store(List.of(name));
    assertThat(await(weights().contains(name))).isTrue();
    assertThat(await(weights().contains("absent"))).isFalse();
  }

  @Test
  void shouldFailAsNotRunWhenPlatformIsUnavailable() {
    failCalls();
    assertNotRun(weights().contains("routeplanner"));
  }

  @Test
  void shouldFailAsNotRunWhenStoreIsOverItsReadRate() {
    exceedRate();
    assertNotRun(weights().contains("routeplanner"));
  }

  private static void assertNotRun(CompletableFuture<Boolean> call) {
    Failure failure = await(call.handle((value, thrown) -> FailureException.unwrap(thrown)));
    assertThat(failure.type()).isEqualTo(FailureType.PLATFORM_UNAVAILABLE);
    assertThat(failure.outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(failure.retryAfter()).isPresent();
  }

  private static <T> T await(CompletableFuture<T> future) {
    return future.orTimeout(TIMEOUT_SECONDS, SECONDS).join();
  }
}
