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
import org.snipewick.route.TeamQuota;
import org.snipewick.time.VirtualTimerService;

class QuotaLedgerTest {
  private static final QuotaBounds NO_TOLERANCE = new QuotaBounds(Duration.ofSeconds(8), 0, 0);
  private static final TeamName TEAM = TeamName.of("drivers");
  private static final InstanceId PEER = InstanceId.of("linz.1");

  /** Allows 9,000 tokens in each 8 seconds. */
  private static final TeamPlan PLAN =
      new TeamPlan(TEAM, Set.of("k"), Optional.empty(), new TeamQuota(1_000, 1_000, true, 200));

  private final VirtualTimerService timer = VirtualTimerService.of(0);
  private final QuotaLedger ledger = QuotaLedger.of(timer, NO_TOLERANCE, false);

  @Test
  void shouldRefuseUntilSpendingLeavesWindowWhenLimitIsSpent() {
    assertThat(ledger.trySpend(PLAN, 9_000)).isEmpty();
    timer.advance(Duration.ofSeconds(5));
    assertThat(ledger.trySpend(PLAN, 1)).contains(Duration.ofSeconds(3));
    timer.advance(Duration.ofSeconds(4));
    assertThat(ledger.trySpend(PLAN, 9_000)).isEmpty();
  }

  @Test
  void shouldCountSpendingWhenPeerReportsIt() {
    ledger.setPeers(Set.of(PEER));
    report(6_000, 6_000);
    timer.advance(Duration.ofMillis(900));
    report(6_000, 6_000);
    assertThat(ledger.trySpend(PLAN, 3_100)).isPresent();
    timer.advance(Duration.ofMillis(200));
    assertThat(ledger.trySpend(PLAN, 3_000)).isEmpty();
  }

  @Test
  void shouldCountOnlyIncreaseWhenTotalIsReportedAgain() {
    ledger.setPeers(Set.of(PEER));
    for (int count = 0; count < 20; count++) {
      report(4_000, 4_000);
      timer.advance(Duration.ofMillis(100));
    }
    assertThat(ledger.trySpend(PLAN, 5_000)).isEmpty();
  }

  @Test
  void shouldReserveShareWhenPeerIsSilent() {
    ledger.setPeers(Set.of(PEER));
    assertThat(ledger.trySpend(PLAN, 4_501)).isPresent();
    assertThat(ledger.trySpend(PLAN, 4_500)).isEmpty();
    assertThat(ledger.trySpend(PLAN, 1)).isPresent();
  }

  @Test
  void shouldSpendExactlyLimitInTotalWhenInstancesReceiveNoReports() {
    QuotaLedger second = QuotaLedger.of(timer, NO_TOLERANCE, false);
    ledger.setPeers(Set.of(PEER));
    second.setPeers(Set.of(InstanceId.of("linz.2")));
    double spent = 0;
    for (int request = 0; request < 100; request++) {
      spent += ledger.trySpend(PLAN, 100).isEmpty() ? 100 : 0;
      spent += second.trySpend(PLAN, 100).isEmpty() ? 100 : 0;
    }
    assertThat(spent).isEqualTo(9_000);
  }

  @Test
  void shouldCountEarlierSpendingWhenPeerRestarts() {
    ledger.setPeers(Set.of(PEER));
    report(5_000, 5_000);
    report(100, 100);
    timer.advance(Duration.ofMillis(999));
    report(100, 100);
    timer.advance(Duration.ofMillis(500));
    assertThat(ledger.trySpend(PLAN, 3_901)).isPresent();
    assertThat(ledger.trySpend(PLAN, 3_900)).isEmpty();
  }

  @Test
  void shouldReservePartOfShareWhenEarlierProcessMayHaveSpentIt() {
    QuotaLedger restarted = QuotaLedger.of(timer, NO_TOLERANCE, true);
    restarted.setPeers(Set.of(PEER));
    restarted.addPeerSpending(PEER, Optional.empty(), Map.of());
    assertThat(restarted.trySpend(PLAN, 4_501)).isPresent();
    timer.advance(Duration.ofSeconds(4));
    restarted.addPeerSpending(PEER, Optional.empty(), Map.of());
    assertThat(restarted.trySpend(PLAN, 6_751)).isPresent();
    assertThat(restarted.trySpend(PLAN, 6_750)).isEmpty();
  }

  @Test
  void shouldNotExceedLimitWhenAllProcessesRestartTogether() {
    QuotaLedger restarted = QuotaLedger.of(timer, NO_TOLERANCE, true);
    restarted.setPeers(Set.of(PEER));
    double spent = 0;
    for (int second = 0; second < 8; second++) {
      restarted.addPeerSpending(PEER, Optional.of(Duration.ofSeconds(second)), Map.of());
      double unexpiredSpendingOfEarlierProcesses = 9_000 * (8 - second) / 8.0;
      while (restarted.trySpend(PLAN, 100).isEmpty()) {
        spent += 100;
      }
      assertThat(spent + unexpiredSpendingOfEarlierProcesses).isLessThanOrEqualTo(9_000);
      timer.advance(Duration.ofSeconds(1));
    }
    assertThat(spent).isGreaterThan(7_000);
  }

  /**
   * Guards against exceeding a limit after a restart: all processes are killed at once after they
   * spent the whole limit in their last second, and the new ones have no record of it.
   */
  @Test
  void shouldSpendNothingMoreWhenLimitWasSpentRightBeforeAllProcessesStartedAgain() {
    final double spentByEarlierProcesses = 9_000;
    QuotaLedger restarted = QuotaLedger.of(timer, NO_TOLERANCE, true);
    restarted.setPeers(Set.of(PEER));
    double spent = 0;
    for (int second = 0; second < 7; second++) {
      restarted.addPeerSpending(PEER, Optional.of(Duration.ofSeconds(second)), Map.of());
      while (restarted.trySpend(PLAN, 100).isEmpty()) {
        spent += 100;
      }
      timer.advance(Duration.ofSeconds(1));
    }
    assertThat(spentByEarlierProcesses + spent).isLessThanOrEqualTo(9_000);
  }

  @Test
  void shouldUsePartOfToleranceWhenBoundsHaveOne() {
    QuotaBounds bounds = new QuotaBounds(Duration.ofSeconds(8), 0.1, 1_000);
    assertThat(bounds.limit(PLAN.quota())).isEqualTo(9_000 + 0.8 * 1_900);
    assertThat(bounds.limit(new TeamQuota(1_000, 1_000, false, 0))).isEqualTo(9_000 + 0.8 * 900);
  }

  private void report(double total, double recent) {
    ledger.addPeerSpending(
        PEER, Optional.empty(), Map.of(TEAM, new QuotaLedger.Spent(total, recent)));
  }
}
