package org.snipewick.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.TeamName;
import org.snipewick.route.TeamPlan;
import org.snipewick.route.TokenQuota;
import org.snipewick.time.VirtualTimerService;

class QuotaLedgerTest {
  private static final QuotaBounds EXACT = new QuotaBounds(Duration.ofSeconds(8), 0, 0);
  private static final TeamName TEAM = TeamName.of("drivers");
  private static final InstanceId OTHER = InstanceId.of("linz.1");

  /** Allows 9,000 tokens in each 8 seconds. */
  private static final TeamPlan PLAN =
      new TeamPlan(TEAM, Set.of("k"), Optional.empty(), new TokenQuota(1_000, 1_000, true, 200));

  private final VirtualTimerService timer = VirtualTimerService.of(0);
  private final QuotaLedger ledger = QuotaLedger.of(timer, EXACT, false);

  @Test
  void shouldRefuseUntilTheWindowHasMovedWhenAllIsSpent() {
    assertThat(ledger.trySpend(PLAN, 9_000)).isEmpty();
    timer.advance(Duration.ofSeconds(5));
    assertThat(ledger.trySpend(PLAN, 1)).contains(Duration.ofSeconds(3));
    timer.advance(Duration.ofSeconds(4));
    assertThat(ledger.trySpend(PLAN, 9_000)).isEmpty();
  }

  @Test
  void shouldCountWhatOthersTellWhenTheySpend() {
    ledger.listed(Set.of(OTHER));
    tell(6_000, 6_000);
    timer.advance(Duration.ofMillis(900));
    tell(6_000, 6_000);
    assertThat(ledger.trySpend(PLAN, 3_100)).isPresent();
    timer.advance(Duration.ofMillis(200));
    assertThat(ledger.trySpend(PLAN, 3_000)).isEmpty();
  }

  @Test
  void shouldCountOnlyTheIncreaseWhenTotalsAreToldAgain() {
    ledger.listed(Set.of(OTHER));
    for (int report = 0; report < 20; report++) {
      tell(4_000, 4_000);
      timer.advance(Duration.ofMillis(100));
    }
    assertThat(ledger.trySpend(PLAN, 5_000)).isEmpty();
  }

  @Test
  void shouldKeepTheShareOfAnInstanceWhenItIsSilent() {
    ledger.listed(Set.of(OTHER));
    assertThat(ledger.trySpend(PLAN, 4_501)).isPresent();
    assertThat(ledger.trySpend(PLAN, 4_500)).isEmpty();
    assertThat(ledger.trySpend(PLAN, 1)).isPresent();
  }

  @Test
  void shouldSumUpToTheLimitWhenInstancesDoNotHearEachOther() {
    QuotaLedger second = QuotaLedger.of(timer, EXACT, false);
    ledger.listed(Set.of(OTHER));
    second.listed(Set.of(InstanceId.of("linz.2")));
    double spent = 0;
    for (int request = 0; request < 100; request++) {
      spent += ledger.trySpend(PLAN, 100).isEmpty() ? 100 : 0;
      spent += second.trySpend(PLAN, 100).isEmpty() ? 100 : 0;
    }
    assertThat(spent).isEqualTo(9_000);
  }

  @Test
  void shouldCountWhatAnInstanceSpentBeforeWhenItStartsAgain() {
    ledger.listed(Set.of(OTHER));
    tell(5_000, 5_000);
    tell(100, 100);
    timer.advance(Duration.ofMillis(999));
    tell(100, 100);
    timer.advance(Duration.ofMillis(500));
    assertThat(ledger.trySpend(PLAN, 3_901)).isPresent();
    assertThat(ledger.trySpend(PLAN, 3_900)).isEmpty();
  }

  @Test
  void shouldKeepPartOfItsShareWhenAnEarlierProcessMayHaveSpentIt() {
    QuotaLedger restarted = QuotaLedger.of(timer, EXACT, true);
    restarted.listed(Set.of(OTHER));
    restarted.report(OTHER, Optional.empty(), Map.of());
    assertThat(restarted.trySpend(PLAN, 4_501)).isPresent();
    timer.advance(Duration.ofSeconds(4));
    restarted.report(OTHER, Optional.empty(), Map.of());
    assertThat(restarted.trySpend(PLAN, 6_751)).isPresent();
    assertThat(restarted.trySpend(PLAN, 6_750)).isEmpty();
  }

  @Test
  void shouldNotSpendMoreThanTheLimitAgainWhenAllProcessesStartedTogether() {
    QuotaLedger restarted = QuotaLedger.of(timer, EXACT, true);
    restarted.listed(Set.of(OTHER));
    double spent = 0;
    for (int second = 0; second < 8; second++) {
      restarted.report(OTHER, Optional.of(Duration.ofSeconds(second)), Map.of());
      double leftOfEarlierWindow = 9_000 * (8 - second) / 8.0;
      while (restarted.trySpend(PLAN, 100).isEmpty()) {
        spent += 100;
      }
      assertThat(spent + leftOfEarlierWindow).isLessThanOrEqualTo(9_000);
      timer.advance(Duration.ofSeconds(1));
    }
    assertThat(spent).isGreaterThan(7_000);
  }

  /**
   * All processes are killed at once; the earlier ones spent the whole limit in their last second.
   */
  @Test
  void shouldSpendNothingMoreWhenLimitWasSpentRightBeforeAllProcessesStartedAgain() {
    final double spentByEarlierProcesses = 9_000;
    QuotaLedger restarted = QuotaLedger.of(timer, EXACT, true);
    restarted.listed(Set.of(OTHER));
    double spent = 0;
    for (int second = 0; second < 7; second++) {
      restarted.report(OTHER, Optional.of(Duration.ofSeconds(second)), Map.of());
      while (restarted.trySpend(PLAN, 100).isEmpty()) {
        spent += 100;
      }
      timer.advance(Duration.ofSeconds(1));
    }
    assertThat(spentByEarlierProcesses + spent).isLessThanOrEqualTo(9_000);
  }

  @Test
  void shouldUsePartOfTheToleranceWhenBoundsHaveOne() {
    QuotaBounds bounds = new QuotaBounds(Duration.ofSeconds(8), 0.1, 1_000);
    assertThat(bounds.limit(PLAN.quota())).isEqualTo(9_000 + 0.8 * 1_900);
    assertThat(bounds.limit(new TokenQuota(1_000, 1_000, false, 0))).isEqualTo(9_000 + 0.8 * 900);
  }

  private void tell(double total, double recent) {
    ledger.report(OTHER, Optional.empty(), Map.of(TEAM, new QuotaLedger.Spent(total, recent)));
  }
}
