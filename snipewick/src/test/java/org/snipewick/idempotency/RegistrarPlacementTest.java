package org.snipewick.idempotency;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.RequestId;
import org.snipewick.identity.TeamName;
import org.snipewick.membership.SettableMembership;
import org.snipewick.time.VirtualTimerService;

class RegistrarPlacementTest {
  private static final LedgerSettings SETTINGS =
      LedgerSettings.defaults()
          .withHomeDomains(Set.of(FailureDomain.of("wien-a"), FailureDomain.of("linz")));

  @ParameterizedTest
  @ValueSource(strings = {"a", "b", "c", "d", "e", "f", "wien-a.x", "linz.x"})
  void shouldReturnSameHomeDomainWhenViewsContainDifferentDomains(String key) {
    RegistrarPlacement complete = placement("wien-a.1", "wien-a.1", "linz.1");
    RegistrarPlacement alone = placement("wien-a.2", "wien-a.2");
    assertThat(alone.home(request(key))).isEqualTo(complete.home(request(key)));
  }

  private static RegistrarPlacement placement(String self, String... members) {
    return RegistrarPlacement.of(
        new SettableMembership(SettableMembership.viewOf(self, members)),
        VirtualTimerService.of(1_000),
        SETTINGS);
  }

  private static KeyedRequest request(String key) {
    return new KeyedRequest(
        RequestId.of(InstanceId.of("wien-a.1"), 1, 1), TeamName.of("team"), key, "print", false);
  }
}
