package org.snipewick.registry;

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

class EndpointRegistryTest {
  private final VirtualTimerService timer = VirtualTimerService.of(0);
  private Collection<RegisteredEndpoint> latest = List.of();
  private final EndpointRegistry registry =
      EndpointRegistry.of(timer, EventLog.none(), endpoints -> latest = endpoints);

  @Test
  void shouldRemoveEndpointAtOnceWhenListIsReadable() {
    registry.replaceAll(List.of(endpoint("a"), endpoint("b")));
    registry.applyChanges(List.of(), List.of(EndpointId.of("a")));
    assertThat(latest).extracting(each -> each.id().value()).containsExactly("b");
  }

  @Test
  void shouldKeepEndpointWhenItRegistersAgainAfterOutage() {
    registry.replaceAll(List.of(endpoint("a"), endpoint("b")));
    registry.onListUnavailable();
    registry.onListAvailableAgain();
    registry.replaceAll(List.of(endpoint("b")));
    assertThat(latest).hasSize(2);
    timer.advance(Duration.ofMillis(1_500));
    registry.applyChanges(List.of(endpoint("a")), List.of());
    timer.advance(Duration.ofSeconds(5));
    assertThat(latest).hasSize(2);
  }

  @Test
  void shouldRemoveEndpointWhenItIsMissingAfterGracePeriod() {
    registry.replaceAll(List.of(endpoint("a"), endpoint("b")));
    registry.onListUnavailable();
    registry.onListAvailableAgain();
    registry.applyChanges(List.of(), List.of(EndpointId.of("a")));
    timer.advance(EndpointRegistry.LAPSE_GRACE_PERIOD.minusMillis(1));
    assertThat(latest).hasSize(2);
    timer.advance(Duration.ofMillis(1));
    assertThat(latest).extracting(each -> each.id().value()).containsExactly("b");
  }

  @Test
  void shouldKeepLapsedEndpointsWhenListIsLostAgainDuringGracePeriod() {
    registry.replaceAll(List.of(endpoint("a")));
    registry.onListUnavailable();
    registry.onListAvailableAgain();
    registry.replaceAll(List.of());
    registry.onListUnavailable();
    timer.advance(Duration.ofSeconds(10));
    assertThat(latest).hasSize(1);
    registry.onListAvailableAgain();
    timer.advance(EndpointRegistry.LAPSE_GRACE_PERIOD);
    assertThat(latest).isEmpty();
  }

  /** Guards against live endpoints that are dropped because a restored store lost their rows. */
  @Test
  void shouldKeepEndpointForGracePeriodWhenStoreIsRestoredWithoutIt() {
    registry.replaceAll(List.of(endpoint("a"), endpoint("b")));
    registry.onListRestored();
    registry.replaceAll(List.of(endpoint("b")));
    assertThat(latest).hasSize(2);
    timer.advance(EndpointRegistry.LAPSE_GRACE_PERIOD);
    assertThat(latest).hasSize(1);
  }

  /** Guards against requests to an endpoint that was gone before the store was restored. */
  @Test
  void shouldTreatEndpointAsLeavingWhenRestoredStoreBringsItBack() {
    registry.replaceAll(List.of(endpoint("a"), endpoint("b")));
    registry.applyChanges(List.of(), List.of(EndpointId.of("a")));
    registry.onListRestored();
    registry.replaceAll(List.of(endpoint("a"), endpoint("b")));
    assertThat(latest).filteredOn(RegisteredEndpoint::isLeaving).hasSize(1);
    registry.applyChanges(List.of(endpoint("a", 2)), List.of());
    assertThat(latest).noneMatch(RegisteredEndpoint::isLeaving);
  }

  @Test
  void shouldCountEndpointAsLeavingWhenItAnnouncedItsDeparture() {
    registry.replaceAll(List.of(endpoint("a"), endpoint("b")));
    registry.onDepartureAnnounced(endpoint("a"));
    assertThat(leaving()).containsExactly("a");
    registry.applyChanges(List.of(endpoint("a")), List.of());
    assertThat(leaving()).containsExactly("a");
  }

  @Test
  void shouldCountEndpointAsLeavingWhenItsEntryLapsedAndReturned() {
    registry.replaceAll(List.of(endpoint("a")));
    registry.onDepartureAnnounced(endpoint("a"));
    registry.applyChanges(List.of(), List.of(EndpointId.of("a")));
    assertThat(latest).isEmpty();
    timer.advance(Duration.ofSeconds(30));
    registry.replaceAll(List.of(endpoint("a")));
    assertThat(leaving()).containsExactly("a");
  }

  @Test
  void shouldUseEndpointAgainWhenItHasStartedAgainAfterDeparture() {
    registry.replaceAll(List.of(endpoint("a")));
    registry.onDepartureAnnounced(endpoint("a"));
    registry.applyChanges(List.of(endpoint("a", 2)), List.of());
    assertThat(leaving()).isEmpty();
  }

  @Test
  void shouldIgnoreDepartureWhenNewIncarnationIsListedAlready() {
    registry.replaceAll(List.of(endpoint("a", 2)));
    registry.onDepartureAnnounced(endpoint("a", 1));
    assertThat(leaving()).isEmpty();
  }

  private List<String> leaving() {
    return latest.stream()
        .filter(RegisteredEndpoint::isLeaving)
        .map(each -> each.id().value())
        .toList();
  }

  private static RegisteredEndpoint endpoint(String id) {
    return endpoint(id, 1);
  }

  private static RegisteredEndpoint endpoint(String id, long startedEpochMillis) {
    return new RegisteredEndpoint(
        EndpointId.of(id),
        startedEpochMillis,
        PoolName.of("planner"),
        FailureDomain.of("linz"),
        "127.0.0.1",
        1,
        4,
        false);
  }
}
