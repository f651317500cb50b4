package org.snipewick.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.snipewick.identity.InstanceId;

class ReportAggregatorTest {
  private static final InstanceId FIRST = InstanceId.of("linz.1");
  private static final InstanceId SECOND = InstanceId.of("linz.2");
  private static final InstanceId OTHER = InstanceId.of("graz.1");
  private static final InstanceId OTHER_REPLACEMENT = InstanceId.of("graz.2");
  private static final long SECOND_NANOS = 1_000_000_000L;

  private final ReportAggregator aggregator = ReportAggregator.of(Duration.ofSeconds(8));
  private long nowNanos = 100 * SECOND_NANOS;

  @Test
  void shouldKeepSpendingOfEarlierProcessWhenInstanceRestarts() {
    report(FIRST, 60_000, 5_000);
    nowNanos += SECOND_NANOS;
    report(FIRST, 100, 10);
    assertThat(spent(aggregator.groupTotals(nowNanos))).isEqualTo(5_010);
    assertThat(aggregator.groupTotals(nowNanos).withoutHistory()).isZero();
    assertThat(aggregator.isHistoryKnown(FIRST)).isTrue();
    nowNanos += 7 * SECOND_NANOS;
    report(FIRST, 7_100, 10);
    assertThat(spent(aggregator.groupTotals(nowNanos))).isEqualTo(10);
  }

  @Test
  void shouldCountInstanceWithoutHistoryWhenItsEarlierProcessIsUnknown() {
    report(FIRST, 100, 10);
    assertThat(aggregator.groupTotals(nowNanos).withoutHistory()).isEqualTo(1);
    report(FIRST, 8_000, 10);
    assertThat(aggregator.groupTotals(nowNanos).withoutHistory()).isZero();
    report(SECOND, FleetMessages.FIRST_START_UPTIME_MILLIS, 0);
    assertThat(aggregator.groupTotals(nowNanos).withoutHistory()).isZero();
  }

  @Test
  void shouldExcludeContributionOfReceiverOnlyWhenSumIsSent() {
    report(FIRST, 60_000, 100);
    report(SECOND, 60_000, 40);
    Totals peersOfFirst =
        aggregator.groupTotals(nowNanos).minus(aggregator.contribution(FIRST, nowNanos));
    assertThat(peersOfFirst.instances()).isEqualTo(1);
    assertThat(spent(peersOfFirst)).isEqualTo(40);
    assertThat(peersOfFirst.inFlight()).containsExactly(Map.entry("e", 1));
  }

  @Test
  void shouldKeepSpendingOfLostGroupUntilItLeavesWindow() {
    groupSum(OTHER, "graz", 60_000, 1, 300);
    nowNanos += 4 * SECOND_NANOS;
    Totals lost = aggregator.otherGroupTotals(nowNanos);
    assertThat(lost.instances()).isZero();
    assertThat(lost.inFlight()).isEmpty();
    assertThat(spent(lost)).isEqualTo(300);
    nowNanos += 5 * SECOND_NANOS;
    aggregator.removeExpired(nowNanos);
    assertThat(aggregator.otherGroupTotals(nowNanos).spent()).isEmpty();
  }

  @Test
  void shouldCountGroupOnceWhenItsCollectorIsReplaced() {
    groupSum(OTHER, "graz", 60_000, 8, 300);
    nowNanos += 2 * SECOND_NANOS;
    groupSum(OTHER_REPLACEMENT, "graz", 60_000, 7, 290);
    assertThat(aggregator.otherGroupTotals(nowNanos).instances()).isEqualTo(7);
    assertThat(spent(aggregator.otherGroupTotals(nowNanos))).isEqualTo(290);
  }

  @Test
  void shouldKeepSpendingOfEarlierProcessWhenSingleInstanceOfGroupRestarts() {
    groupSum(OTHER, "graz.1", 60_000, 1, 300);
    nowNanos += SECOND_NANOS;
    groupSum(OTHER, "graz.1", 50, 1, 5);
    assertThat(spent(aggregator.otherGroupTotals(nowNanos))).isEqualTo(305);
  }

  private void report(InstanceId from, long uptimeMillis, double spent) {
    aggregator.addReport(
        from,
        new FleetMessages.Report(
            uptimeMillis, Map.of("team", new Totals.Spent(spent, 0)), Map.of("e", 1)),
        nowNanos);
  }

  private void groupSum(
      InstanceId from, String group, long uptimeMillis, int instances, double spent) {
    Totals totals =
        new Totals(
            instances, 0, Map.of("team", new Totals.Spent(spent, 0)), Map.of("e", instances));
    aggregator.addGroupSum(from, new FleetMessages.GroupSum(group, uptimeMillis, totals), nowNanos);
  }

  private static double spent(Totals totals) {
    return totals.spent().get("team").window();
  }
}
