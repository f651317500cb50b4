package org.snipewick.store.access;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Backoff and retry budget of {@link RetryPolicy}. */
final class RetryPolicyTest {
  private static final StoreSettings.Retry SETTINGS = new StoreSettings.Retry(5, 100, 300, 0.5);

  private final RetryPolicy policy = new RetryPolicy(SETTINGS, new Random(5));

  @ParameterizedTest
  @CsvSource({"1,100", "2,200", "3,300", "4,300"})
  void shouldReturnDelayUpToCeilingWhenAttemptsFail(int attempts, long ceilingMillis) {
    IntStream.range(0, 500)
        .forEach(
            round -> {
              policy.recordFirstAttempt();
              policy.recordFirstAttempt();
              assertThat(policy.nextDelay(attempts).orElseThrow())
                  .isBetween(Duration.ZERO, Duration.ofMillis(ceilingMillis));
            });
  }

  @Test
  void shouldReturnNoDelayWhenAttemptsAreUsedUp() {
    assertThat(policy.nextDelay(5)).isEmpty();
  }

  @Test
  void shouldLimitRetriesToBudgetShareWhenAllAttemptsFail() {
    IntStream.range(0, 20).forEach(call -> policy.nextDelay(1));
    long retries =
        IntStream.range(0, 1_000)
            .mapToObj(
                call -> {
                  policy.recordFirstAttempt();
                  return policy.nextDelay(1);
                })
            .filter(Optional::isPresent)
            .count();

    assertThat(retries).isEqualTo(500);
  }
}
