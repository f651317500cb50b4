package org.snipewick.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.snipewick.catalogue.Catalogue;
import org.snipewick.catalogue.CatalogueSource;
import org.snipewick.catalogue.Entry;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.TeamName;
import org.snipewick.identity.Tier;
import org.snipewick.membership.SettableMembership;
import org.snipewick.peer.InMemoryPeers;
import org.snipewick.time.VirtualTimerService;

/**
 * Checks the count of requests in flight when a team is removed from the catalogue and restored.
 */
class TeamRemovalTest {
  private static final TeamName TEAM = TeamName.of("team");
  private static final Duration SEVERAL_CHECK_PERIODS = Duration.ofSeconds(2);

  private final VirtualTimerService timer = VirtualTimerService.of(0);
  private final AtomicReference<Catalogue> catalogue = new AtomicReference<>(catalogueWithTeam(1));
  private final LeasedTeamLimits limits =
      LeasedTeamLimits.start(
          new SettableMembership(SettableMembership.viewOf("a.1", "a.1")),
          new InMemoryPeers(timer, Duration.ofMillis(1)).join(InstanceId.of("a.1")),
          timer,
          new SettableCatalogue());

  @Test
  void shouldEnforceInFlightLimitWhenTeamWasRemovedMeanwhile() {
    assertThat(limits.tryAcquire(TEAM, 1)).isEmpty();
    removeAndRestore();

    assertThat(limits.tryAcquire(TEAM, 1)).as("the first is still in flight").isPresent();
    limits.release(TEAM, 1, 1);
    assertThat(limits.tryAcquire(TEAM, 1)).isEmpty();
    assertThat(limits.tryAcquire(TEAM, 1)).isPresent();
  }

  @Test
  void shouldAdmitAgainWhenRequestEndedWhileTeamWasRemoved() {
    assertThat(limits.tryAcquire(TEAM, 1)).isEmpty();
    catalogue.set(Catalogue.ofAll(2, List.of()));
    limits.release(TEAM, 1, 1);
    catalogue.set(catalogueWithTeam(3));

    assertThat(limits.tryAcquire(TEAM, 1)).isEmpty();
    assertThat(limits.tryAcquire(TEAM, 1)).isPresent();
  }

  private void removeAndRestore() {
    catalogue.set(Catalogue.ofAll(2, List.of()));
    timer.advance(SEVERAL_CHECK_PERIODS);
    catalogue.set(catalogueWithTeam(3));
  }

  private static Catalogue catalogueWithTeam(long version) {
    return Catalogue.ofAll(
        version,
        List.of(new Entry.Team(TEAM.value(), "owner", Tier.ONE, "00", 100_000, 100_000, 1)));
  }

  private final class SettableCatalogue implements CatalogueSource {

    @Override
    public Catalogue current() {
      return catalogue.get();
    }

    @Override
    public void subscribe(Consumer<Catalogue> listener) {
      // The limits read the current catalogue at each use.
    }
  }
}
