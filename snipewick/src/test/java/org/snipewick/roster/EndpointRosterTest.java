package org.snipewick.roster;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.snipewick.event.EventLog;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.PoolName;
import org.snipewick.time.VirtualTimerService;

class EndpointRosterTest {
  private final VirtualTimerService timer = VirtualTimerService.of(0);
  private Collection<RosterEndpoint> latest = List.of();
  private final EndpointRoster roster =
      EndpointRoster.of(timer, EventLog.none(), endpoints -> latest = endpoints);

  @Test
  void shouldRemoveEndpointAtOnceWhenListIsReadable() {
    roster.replaceAll(List.of(endpoint("a"), endpoint("b")));
    roster.applyChanges(List.of(), List.of(EndpointId.of("a")));
    assertThat(latest).extracting(each -> each.id().value()).containsExactly("b");
  }

  @Test
  void shouldKeepEndpointWhenItRegistersAgainAfterOutage() {
    roster.replaceAll(List.of(endpoint("a"), endpoint("b")));
    roster.listLost();
    roster.listRegained();
    roster.replaceAll(List.of(endpoint("b")));
    assertThat(latest).hasSize(2);
    timer.advance(Duration.ofMillis(1_500));
    roster.applyChanges(List.of(endpoint("a")), List.of());
    timer.advance(Duration.ofSeconds(5));
    assertThat(latest).hasSize(2);
  }

  @Test
  void shouldRemoveEndpointWhenItIsMissingAfterGracePeriod() {
    roster.replaceAll(List.of(endpoint("a"), endpoint("b")));
    roster.listLost();
    roster.listRegained();
    roster.applyChanges(List.of(), List.of(EndpointId.of("a")));
    timer.advance(EndpointRoster.LAPSE_GRACE_PERIOD.minusMillis(1));
    assertThat(latest).hasSize(2);
    timer.advance(Duration.ofMillis(1));
    assertThat(latest).extracting(each -> each.id().value()).containsExactly("b");
  }

  @Test
  void shouldKeepLapsedEndpointsWhenListIsLostAgainDuringGracePeriod() {
    roster.replaceAll(List.of(endpoint("a")));
    roster.listLost();
    roster.listRegained();
    roster.replaceAll(List.of());
    roster.listLost();
    timer.advance(Duration.ofSeconds(10));
    assertThat(latest).hasSize(1);
    roster.listRegained();
    timer.advance(EndpointRoster.LAPSE_GRACE_PERIOD);
    assertThat(latest).isEmpty();
  }

  private static RosterEndpoint endpoint(String id) {
    return new RosterEndpoint(
        EndpointId.of(id),
        1,
        PoolName.of("planner"),
        FailureDomain.of("linz"),
        "127.0.0.1",
        1,
        4,
        false);
  }
}
