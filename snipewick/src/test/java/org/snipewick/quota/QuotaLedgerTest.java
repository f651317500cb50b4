package org.snipewick.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.snipewick.identity.TeamName;
import org.snipewick.route.TeamPlan;
import org.snipewick.route.TeamQuota;
import org.snipewick.time.VirtualTimerService;

class QuotaLedgerTest {
  private static final QuotaBounds NO_TOLERANCE = new QuotaBounds(Duration.ofSeconds(8), 0, 0);
  private static final TeamName TEAM = TeamName.of("drivers");

  private static final Duration VALIDITY = Duration.ofSeconds(1);
  private static final Duration LAG = Duration.ofMillis(250);
  private static final Duration NO_LAG = Duration.ZERO;

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
    ledger.setPeers(1);
    report(6_000, 6_000);
    timer.advance(Duration.ofMillis(900));
    report(6_000, 6_000);
    assertThat(ledger.trySpend(PLAN, 3_100)).isPresent();
    timer.advance(Duration.ofMillis(200));
    report(6_000, 0);
    assertThat(ledger.trySpend(PLAN, 3_000)).isEmpty();
  }

  @Test
  void shouldCountOnlyIncreaseWhenTotalIsReportedAgain() {
    ledger.setPeers(1);
    for (int count = 0; count < 20; count++) {
      report(4_000, 0);
      timer.advance(Duration.ofMillis(100));
    }
    assertThat(ledger.trySpend(PLAN, 5_000)).isEmpty();
  }

  @Test
  void shouldReserveShareWhenPeerIsSilent() {
    ledger.setPeers(1);
    assertThat(ledger.trySpend(PLAN, 4_501)).isPresent();
    assertThat(ledger.trySpend(PLAN, 4_500)).isEmpty();
    assertThat(ledger.trySpend(PLAN, 1)).isPresent();
  }

  @Test
  void shouldSpendExactlyLimitInTotalWhenInstancesReceiveNoReports() {
    QuotaLedger second = QuotaLedger.of(timer, NO_TOLERANCE, false);
    ledger.setPeers(1);
    second.setPeers(1);
    double spent = 0;
    for (int request = 0; request < 100; request++) {
      spent += ledger.trySpend(PLAN, 100).isEmpty() ? 100 : 0;
      spent += second.trySpend(PLAN, 100).isEmpty() ? 100 : 0;
    }
    assertThat(spent).isEqualTo(9_000);
  }

  /** The aggregator includes what an earlier process of a peer spent in the sum over the peers. */
  @Test
  void shouldCountEarlierSpendingWhenPeerRestarts() {
    ledger.setPeers(1);
    report(5_100, 100);
    timer.advance(Duration.ofMillis(999));
    report(5_100, 0);
    assertThat(ledger.trySpend(PLAN, 3_901)).isPresent();
    assertThat(ledger.trySpend(PLAN, 3_900)).isEmpty();
  }

  @Test
  void shouldReserveShareUntilItLeavesWindowWhenEarlierProcessMayHaveSpentIt() {
    QuotaLedger restarted = QuotaLedger.of(timer, NO_TOLERANCE, true);
    restarted.setPeers(1);
    for (int second = 0; second < 8; second++) {
      restarted.setPeerSpending(spending(Map.of(), 0));
      assertThat(restarted.trySpend(PLAN, 4_501)).isPresent();
      timer.advance(Duration.ofSeconds(1));
    }
    restarted.setPeerSpending(spending(Map.of(), 0));
    assertThat(restarted.trySpend(PLAN, 9_000)).isEmpty();
  }

  @Test
  void shouldReserveNothingWhenPeersIncludeSpendingOfEarlierProcess() {
    QuotaLedger restarted = QuotaLedger.of(timer, NO_TOLERANCE, true);
    restarted.setPeers(1);
    restarted.setPeerSpending(
        new PeerSpending(
            Map.of(TEAM, new QuotaLedger.Spent(2_000, 0)), 1, 0, true, VALIDITY, NO_LAG));
    assertThat(restarted.trySpend(PLAN, 7_001)).isPresent();
    assertThat(restarted.trySpend(PLAN, 7_000)).isEmpty();
  }

  /** Earlier processes spent the whole limit evenly and recorded it each second. */
  @Test
  void shouldNotExceedLimitWhenAllProcessesRestartTogether() {
    QuotaLedger restarted = QuotaLedger.of(timer, NO_TOLERANCE, true);
    restarted.setPeers(1);
    restarted.setEarlierSpending(
        EarlierSpending.recorded(Map.of(TEAM, Collections.nCopies(8, 1_125.0))));
    double spent = 0;
    for (int second = 0; second < 8; second++) {
      restarted.setPeerSpending(spending(Map.of(), 1));
      double unexpiredSpendingOfEarlierProcesses = 9_000 * (8 - second) / 8.0;
      while (restarted.trySpend(PLAN, 100).isEmpty()) {
        spent += 100;
      }
      assertThat(spent + unexpiredSpendingOfEarlierProcesses).isLessThanOrEqualTo(9_000);
      timer.advance(Duration.ofSeconds(1));
    }
    assertThat(spent).isGreaterThan(7_000);
  }

  @Test
  void shouldNotExceedLimitWhenRecordShowsThatItWasSpentInLastSecond() {
    QuotaLedger restarted = QuotaLedger.of(timer, NO_TOLERANCE, true);
    restarted.setPeers(1);
    restarted.setEarlierSpending(EarlierSpending.recorded(Map.of(TEAM, List.of(9_000.0, 0.0))));
    restarted.setPeerSpending(spending(Map.of(), 1));
    assertThat(restarted.trySpend(PLAN, 1)).isPresent();
  }

  /**
   * Guards against exceeding a limit after a restart: all processes are killed at once after they
   * spent the whole limit in their last second, and the new ones have no record of it.
   */
  @Test
  void shouldSpendNothingMoreWhenLimitWasSpentRightBeforeAllProcessesStartedAgain() {
    final double spentByEarlierProcesses = 9_000;
    QuotaLedger restarted = QuotaLedger.of(timer, NO_TOLERANCE, true);
    restarted.setPeers(1);
    double spent = 0;
    for (int second = 0; second < 7; second++) {
      restarted.setPeerSpending(spending(Map.of(), 1));
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

  private void report(double window, double lastSecond) {
    ledger.setPeerSpending(spending(Map.of(TEAM, new QuotaLedger.Spent(window, lastSecond)), 0));
  }

  private static PeerSpending spending(Map<TeamName, QuotaLedger.Spent> spent, int withoutHistory) {
    return new PeerSpending(spent, 1, withoutHistory, false, VALIDITY, LAG);
  }
}
