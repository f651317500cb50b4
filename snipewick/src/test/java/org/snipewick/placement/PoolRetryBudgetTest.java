package org.snipewick.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class PoolRetryBudgetTest {
  private static final Duration WINDOW = Duration.ofSeconds(10);

  @Test
  void shouldStayWithinSharedSlackWhenInstancesHaveNoRequests() {
    int retries = 0;
    for (int instance = 0; instance < 8; instance++) {
      retries += spend(PoolRetryBudget.of(0.2, 56, 8, WINDOW), 0, 100);
    }
    assertThat(retries).isLessThanOrEqualTo(56);
  }

  @Test
  void shouldAllowShareOfRequestsWhenThereAreMany() {
    assertThat(spend(PoolRetryBudget.of(0.2, 0, 1, WINDOW), 1_000, 1_000)).isBetween(130, 200);
  }

  @Test
  void shouldNotCountRetriesWhenWindowHasPassed() {
    PoolRetryBudget budget = PoolRetryBudget.of(0, 10, 1, WINDOW);
    assertThat(spend(budget, 0, 20)).isEqualTo(7);
    assertThat(budget.trySpend(WINDOW.toNanos() - 1)).isFalse();
    assertThat(budget.trySpend(WINDOW.toNanos() + 2)).isTrue();
  }

  private static int spend(PoolRetryBudget budget, int requests, int attempts) {
    for (int request = 0; request < requests; request++) {
      budget.countRequest(0);
    }
    int allowed = 0;
    for (int retry = 0; retry < attempts; retry++) {
      allowed += budget.trySpend(0) ? 1 : 0;
    }
    return allowed;
  }
}
