package org.snipewick.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.snipewick.fleet.EndpointLimit;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.PoolName;
import org.snipewick.registry.RegisteredEndpoint;

class EndpointLimitsTest {
  @Test
  void shouldReportChangeWhenLimitIsNamedChangedOrLifted() {
    EndpointLimits limits = EndpointLimits.empty();
    EndpointId endpoint = EndpointId.of("e");
    assertThat(limits.update(endpoint, OptionalDouble.empty(), 0, 1)).isFalse();
    assertThat(limits.update(endpoint, OptionalDouble.of(4.6), 1, 2)).isTrue();
    assertThat(limits.update(endpoint, OptionalDouble.of(4.6), 2, 3)).isFalse();
    assertThat(limits.update(endpoint, OptionalDouble.of(2), 3, 4)).isTrue();
    assertThat(limits.update(endpoint, OptionalDouble.empty(), 5, 6)).isTrue();
    assertThat(limits.size()).isZero();
  }

  /** Guards against a limit that another instance has seen later or earlier than this one. */
  @Test
  void shouldFollowLatestResponseWhenOtherInstancesReportLimits() {
    EndpointLimits limits = EndpointLimits.empty();
    limits.retain(List.of(listed(1)), 0);
    EndpointId endpoint = listed(1).id();
    long now = Duration.ofSeconds(60).toNanos();
    assertThat(limits.adopt(endpoint, new EndpointLimit(4, 800), now)).isTrue();
    assertThat(limits.reported(now)).isEmpty();
    assertThat(limits.adopt(endpoint, new EndpointLimit(9, 900), now)).isFalse();
    limits.update(endpoint, OptionalDouble.of(3), now - 1, now);
    assertThat(limits.adopt(endpoint, new EndpointLimit(-1, 100), now)).isFalse();
    assertThat(limits.limit(endpoint)).hasValue(3);
    assertThat(limits.reported(now)).containsEntry(endpoint, new EndpointLimit(3, 0));
    long later = now + Duration.ofSeconds(6).toNanos();
    assertThat(limits.reported(later)).isEmpty();
    assertThat(limits.adopt(endpoint, new EndpointLimit(-1, 100), later)).isTrue();
    assertThat(limits.limit(endpoint)).isEmpty();
  }

  /** Guards against a limit that ends by a response from before it was named. */
  @Test
  void shouldKeepLimitWhenRequestWasSentBeforeLimitWasNamed() {
    EndpointLimits limits = EndpointLimits.empty();
    limits.retain(List.of(listed(1)), 0);
    EndpointId endpoint = listed(1).id();
    long named = Duration.ofSeconds(60).toNanos();
    long later = named + Duration.ofSeconds(3).toNanos();
    limits.update(endpoint, OptionalDouble.of(3), named - 2, named);
    assertThat(limits.update(endpoint, OptionalDouble.empty(), named - 1, later)).isFalse();
    assertThat(limits.reported(later)).containsEntry(endpoint, new EndpointLimit(3, 3_000));
    assertThat(limits.adopt(endpoint, new EndpointLimit(-1, 2_600), later)).isFalse();
    assertThat(limits.limit(endpoint)).hasValue(3);
    assertThat(limits.adopt(endpoint, new EndpointLimit(-1, 2_400), later)).isTrue();
    limits.update(endpoint, OptionalDouble.of(3), later, later + 1);
    assertThat(limits.update(endpoint, OptionalDouble.empty(), later + 2, later + 3)).isTrue();
    assertThat(limits.size()).isZero();
  }

  /** Guards against a limit that ends although no response has ended it. */
  @Test
  void shouldKeepLimitUntilNextResponseWhenEndpointStartsAgainOrEntryLapses() {
    EndpointLimits limits = EndpointLimits.empty();
    limits.retain(List.of(listed(1)), 0);
    limits.update(listed(1).id(), OptionalDouble.of(3), 0, 1);
    assertThat(limits.retain(List.of(listed(2)), 2)).isEmpty();
    assertThat(limits.retain(List.of(), 3)).isEmpty();
    assertThat(limits.retain(List.of(listed(2)), 4)).isEmpty();
    assertThat(limits.limit(listed(2).id())).hasValue(3);
    limits.update(listed(2).id(), OptionalDouble.empty(), 5, 6);
    assertThat(limits.size()).isZero();
  }

  @Test
  void shouldRemoveLimitWhenEndpointHasNotBeenListedForLong() {
    EndpointLimits limits = EndpointLimits.empty();
    limits.retain(List.of(listed(1)), 0);
    limits.update(listed(1).id(), OptionalDouble.of(3), 0, 1);
    limits.retain(List.of(), 2);
    long retained = EndpointLimits.UNLISTED_RETENTION.toNanos();
    assertThat(limits.retain(List.of(), 2 + retained)).isEmpty();
    assertThat(limits.retain(List.of(), 3 + retained)).containsExactly(listed(1).id());
    assertThat(limits.size()).isZero();
  }

  private static RegisteredEndpoint listed(long startedEpochMillis) {
    return new RegisteredEndpoint(
        EndpointId.of("e"),
        startedEpochMillis,
        PoolName.of("p"),
        FailureDomain.of("d"),
        "127.0.0.1",
        1,
        2,
        false);
  }
}
