package org.snipewick.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.snipewick.identity.InstanceId;

class ReportAggregatorTest {
  private static final InstanceId FIRST = InstanceId.of("linz.1");
  private static final InstanceId SECOND = InstanceId.of("linz.2");
  private static final InstanceId OTHER = InstanceId.of("graz.1");
  private static final InstanceId OTHER_REPLACEMENT = InstanceId.of("graz.2");
  private static final long SECOND_NANOS = 1_000_000_000L;

  private final ReportAggregator aggregator = ReportAggregator.empty();
  private long nowNanos = 100 * SECOND_NANOS;

  @Test
  void shouldExcludeContributionOfReceiverOnlyWhenSumIsSent() {
    report(FIRST, 1);
    report(SECOND, 2);
    Totals peersOfFirst =
        aggregator.groupTotals(nowNanos).minus(aggregator.contribution(FIRST, nowNanos));
    assertThat(peersOfFirst.instances()).isEqualTo(1);
    assertThat(peersOfFirst.slotHolders()).containsExactly(Map.entry(2, SECOND.value()));
    assertThat(peersOfFirst.inFlight()).containsExactly(Map.entry("e", 1));
  }

  @Test
  void shouldExcludeInstanceWhenItsReportIsOld() {
    report(FIRST, 1);
    nowNanos += 2 * SECOND_NANOS;
    report(SECOND, 2);
    assertThat(aggregator.groupTotals(nowNanos).instances()).isEqualTo(1);
    assertThat(aggregator.groupTotals(nowNanos).slotHolders()).containsOnlyKeys(2);
    assertThat(aggregator.contribution(FIRST, nowNanos)).isEqualTo(Totals.empty());
  }

  @Test
  void shouldExcludeLostGroup() {
    groupSum(OTHER, "graz", 1);
    nowNanos += 4 * SECOND_NANOS;
    assertThat(aggregator.otherGroupTotals(nowNanos)).isEqualTo(Totals.empty());
    aggregator.removeExpired(nowNanos);
    assertThat(aggregator.collectors("graz", nowNanos)).isEmpty();
  }

  @Test
  void shouldCountGroupOnceWhenItsCollectorIsReplaced() {
    groupSum(OTHER, "graz", 8);
    nowNanos += 2 * SECOND_NANOS;
    groupSum(OTHER_REPLACEMENT, "graz", 7);
    assertThat(aggregator.otherGroupTotals(nowNanos).instances()).isEqualTo(7);
    assertThat(aggregator.otherGroupTotals(nowNanos).inFlight()).containsEntry("e", 7);
  }

  /** Guards against a limit that an older statement replaces on the way to the other instances. */
  @Test
  void shouldPassOnYoungestStatementWhenSeveralInstancesReportLimitOfEndpoint() {
    addLimit(FIRST, new EndpointLimit(4, 100));
    nowNanos += SECOND_NANOS / 2;
    addLimit(SECOND, new EndpointLimit(-1, 300));
    Totals sum = aggregator.groupTotals(nowNanos);
    assertThat(sum.limits()).containsExactly(Map.entry("e", new EndpointLimit(-1, 300)));
    assertThat(sum.minus(aggregator.contribution(FIRST, nowNanos)).limits()).hasSize(1);
    assertThat(aggregator.contribution(FIRST, nowNanos).limits())
        .containsExactly(Map.entry("e", new EndpointLimit(4, 600)));
  }

  private void addLimit(InstanceId from, EndpointLimit limit) {
    FleetMessages.Report report = new FleetMessages.Report(Set.of(), Map.of(), Map.of("e", limit));
    aggregator.addReport(from, report, nowNanos);
  }

  private void report(InstanceId from, int slot) {
    aggregator.addReport(from, new FleetMessages.Report(Set.of(slot), Map.of("e", 1)), nowNanos);
  }

  private void groupSum(InstanceId from, String group, int instances) {
    Totals totals = new Totals(instances, Map.of(), Map.of("e", instances));
    aggregator.addGroupSum(from, new FleetMessages.GroupSum(group, totals), nowNanos);
  }
}
