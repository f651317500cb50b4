package org.snipewick.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipewick.identity.TeamName;
import org.snipewick.route.TeamPlan;
import org.snipewick.route.TeamQuota;
import org.snipewick.time.VirtualTimerService;

/** Plays the requests of one team at many instances that learn of each other's spending late. */
class QuotaFleetTest {
  private static final Duration WINDOW = Duration.ofSeconds(8);
  private static final Duration STEP = Duration.ofMillis(10);
  private static final int STEPS = 3_000;
  private static final int STEPS_PER_SECOND = 100;
  private static final int STEPS_PER_WINDOW = 800;
  private static final double TOLERANCE = 0.1;
  private static final double SLACK = 140_000;
  private static final double TOKENS_PER_SECOND = 140_000;
  private static final double BURST = 110_000;
  private static final double BOUND = (8 * TOKENS_PER_SECOND + BURST) * (1 + TOLERANCE) + SLACK;
  private static final TeamName TEAM = TeamName.of("drivers");
  private static final TeamPlan PLAN =
      new TeamPlan(
          TEAM, Set.of("k"), Optional.empty(), new TeamQuota(TOKENS_PER_SECOND, BURST, true, 200));

  private final VirtualTimerService timer = VirtualTimerService.of(0);
  private final SplittableRandom random = new SplittableRandom(20261205);
  private final List<QuotaLedger> ledgers = new ArrayList<>();
  private final Deque<List<Map<TeamName, QuotaLedger.Spent>>> reports = new ArrayDeque<>();
  private final double[] spentBySteps = new double[STEPS];

  /** The lags are those of groups of 8, 61 and 95 instances. */
  @ParameterizedTest
  @CsvSource({
    "8, 200, 1.2", "8, 200, 3", "8, 200, 8",
    "61, 510, 1.2", "61, 510, 3", "61, 510, 8",
    "95, 570, 1.2", "95, 570, 3", "95, 570, 8"
  })
  void shouldStayWithinBoundWhenTeamAsksForMoreThanItsQuota(
      int instances, int lagMillis, double demand) {
    for (int instance = 0; instance < instances; instance++) {
      QuotaLedger ledger = QuotaLedger.of(timer, new QuotaBounds(WINDOW, TOLERANCE, SLACK), false);
      ledger.setPeers(instances - 1);
      ledgers.add(ledger);
    }
    for (int step = 0; step < STEPS; step++) {
      exchangeReports(lagMillis);
      spentBySteps[step] = spend(demand * TOKENS_PER_SECOND / STEPS_PER_SECOND);
      timer.advance(STEP);
    }
    assertThat(maxSpentInWindow()).isLessThanOrEqualTo(BOUND);
    assertThat(maxSpentInWindow()).isGreaterThan(8 * TOKENS_PER_SECOND);
  }

  /** Spends requests of 700 and 6,700 tokens at random instances. */
  private double spend(double tokens) {
    double spent = 0;
    double asked = 0;
    while (asked < tokens) {
      double amount = random.nextBoolean() ? 700 : 6_700;
      asked += amount;
      if (asked - tokens < random.nextDouble() * amount) {
        QuotaLedger ledger = ledgers.get(random.nextInt(ledgers.size()));
        spent += ledger.trySpend(PLAN, amount).isEmpty() ? amount : 0;
      }
    }
    return spent;
  }

  private void exchangeReports(int lagMillis) {
    reports.addLast(ledgers.stream().map(QuotaLedger::spentByThisProcess).toList());
    if (reports.size() * STEP.toMillis() > lagMillis) {
      List<Map<TeamName, QuotaLedger.Spent>> received = reports.removeFirst();
      double window = 0;
      double lastSecond = 0;
      for (Map<TeamName, QuotaLedger.Spent> report : received) {
        QuotaLedger.Spent spent = report.getOrDefault(TEAM, new QuotaLedger.Spent(0, 0));
        window += spent.window();
        lastSecond += spent.lastSecond();
      }
      for (int instance = 0; instance < ledgers.size(); instance++) {
        QuotaLedger.Spent own =
            received.get(instance).getOrDefault(TEAM, new QuotaLedger.Spent(0, 0));
        ledgers
            .get(instance)
            .setPeerSpending(
                new PeerSpending(
                    Map.of(
                        TEAM,
                        new QuotaLedger.Spent(
                            window - own.window(), lastSecond - own.lastSecond())),
                    ledgers.size() - 1,
                    0,
                    true,
                    Duration.ofSeconds(1),
                    Duration.ofMillis(lagMillis)));
      }
    }
  }

  private double maxSpentInWindow() {
    double max = 0;
    double sum = 0;
    for (int step = 0; step < STEPS; step++) {
      sum +=
          spentBySteps[step]
              - (step >= STEPS_PER_WINDOW ? spentBySteps[step - STEPS_PER_WINDOW] : 0);
      max = Math.max(max, sum);
    }
    return max;
  }
}
