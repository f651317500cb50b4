package org.snipewick.platform;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.snipewick.event.EventLog;
import org.snipewick.route.PlanController;
import org.snipewick.store.RowChanges;
import org.snipewick.store.TableRow;
import org.snipewick.time.Moment;
import org.snipewick.time.VirtualTimerService;

/** Tests that a restored store neither takes a configuration back nor proves an old one. */
class ConfigurationListenerTest {
  private final VirtualTimerService timer = VirtualTimerService.of(0);
  private final PlanController plans =
      PlanController.of(timer, EventLog.none(), Duration.ofMillis(4_700));
  private final ConfigurationListener listener = new ConfigurationListener(plans, EventLog.none());

  @Test
  void shouldKeepVersionAndTakeNoProofWhenRestoredStoreHasOlderConfiguration() {
    listener.onRows(List.of(row(8)), Moment.now(timer));
    listener.onNewEra();
    listener.onRows(List.of(row(7)), Moment.now(timer));
    timer.advance(Duration.ofSeconds(5));
    listener.onChanges(noChanges(), Moment.now(timer));
    assertThat(plans.current().orElseThrow().version()).isEqualTo(8);
    assertThat(plans.hasFreshProof()).isFalse();
  }

  @Test
  void shouldTakeProofsAgainWhenOperatorHasWrittenConfigurationAgain() {
    listener.onRows(List.of(row(8)), Moment.now(timer));
    listener.onNewEra();
    listener.onRows(List.of(), Moment.now(timer));
    timer.advance(Duration.ofSeconds(5));
    listener.onChanges(new RowChanges.Delta(List.of(row(8)), List.of(), 3, 2), Moment.now(timer));
    timer.advance(Duration.ofSeconds(4));
    listener.onChanges(noChanges(), Moment.now(timer));
    timer.advance(Duration.ofSeconds(4));
    assertThat(plans.hasFreshProof()).isTrue();
  }

  private static RowChanges.Delta noChanges() {
    return new RowChanges.Delta(List.of(), List.of(), 2, 2);
  }

  private static TableRow row(int version) {
    String plan =
        """
        {"version":%d,"routes":[],"services":[],"limits":{"max_header_bytes":16384,
         "max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}
        """
            .formatted(version);
    return new TableRow("", "config", plan.getBytes(UTF_8), version);
  }
}
