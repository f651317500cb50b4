package org.snipewick.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.store.ListedInstance;

class DigestExchangeTest {
  private static final Duration SETTLING = Duration.ofSeconds(15);
  private static final Duration STEP = Duration.ofMillis(10);
  private static final int MAX_STEPS = 300;
  private static final Duration DIGEST_PERIOD = MembershipSettings.defaults().digestPeriod();
  private static final int SPARE_ROUNDS = 5;
  private static final Duration CUT_DETECTION =
      MembershipSettings.defaults().domainTimeout().plus(DIGEST_PERIOD.multipliedBy(SPARE_ROUNDS));

  private void assertState(
      Cluster cluster, String state, List<String> observers, String... members) {
    for (String observer : observers) {
      for (String member : members) {
        assertThat(cluster.stateInViewOf(observer, member))
            .as("%s in the view of %s", member, observer)
            .isEqualTo(state);
      }
    }
  }

  /**
   * Starts the domain linz and cuts it off from wien as soon as the view of a single member of wien
   * contains it. The other members of wien then receive claims about linz only by gossip among
   * local peers.
   */
  private static Cluster startLinzAndCutWhenOneViewContainsIt(long seed, String... wien) {
    Cluster cluster = Cluster.of(seed);
    cluster.addToList(wien);
    cluster.start(wien);
    cluster.advance(SETTLING);
    ListedInstance contacted = cluster.listed().get(wien.length - 1);
    cluster.setListDown(true);
    cluster.start("linz.1", List.of(contacted));
    for (int step = 0;
        step < MAX_STEPS && cluster.stateInViewOf(contacted.id(), "linz.1").equals("-");
        step++) {
      cluster.advance(STEP);
    }
    cluster.cut("wien", "linz");
    assertThat(cluster.stateInViewOf(contacted.id(), "linz.1")).isEqualTo("ALIVE");
    assertThat(cluster.stateInViewOf(wien[0], "linz.1")).isEqualTo("-");
    return cluster;
  }

  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void shouldAddDomainByLocalGossipWhenCutOffBeforeReceivingAnythingFromIt(long seed) {
    String[] wien = {"wien.1", "wien.2", "wien.3"};
    Cluster cluster = startLinzAndCutWhenOneViewContainsIt(seed, wien);
    cluster.advance(CUT_DETECTION);
    assertState(cluster, "DEAD", List.of(wien), "linz.1");
    cluster.heal("wien", "linz");
    cluster.advance(SETTLING);
    assertState(cluster, "ALIVE", List.of(wien), "linz.1");
  }

  @Test
  void shouldAddDomainByLocalGossipWhenRestartedDuringCut() {
    Cluster cluster = startLinzAndCutWhenOneViewContainsIt(9, "wien.1", "wien.2");
    cluster.crash("wien.1");
    cluster.advance(SETTLING);
    cluster.start("wien.1", cluster.listed());
    cluster.cut("wien", "linz");
    cluster.advance(SETTLING);
    assertState(cluster, "DEAD", List.of("wien.1", "wien.2"), "linz.1");
  }

  @Test
  void shouldConsiderListedDomainDeadWhenNothingWasEverReceivedFromIt() {
    Cluster cluster = Cluster.of(7);
    cluster.addToList("wien.1", "wien.2", "linz.1", "linz.2");
    cluster.start("wien.1", "wien.2", "linz.1", "linz.2");
    cluster.cut("wien", "linz");
    cluster.advance(CUT_DETECTION);
    assertState(cluster, "DEAD", List.of("wien.1", "wien.2"), "linz.1", "linz.2");
    assertState(cluster, "DEAD", List.of("linz.1", "linz.2"), "wien.1", "wien.2");
    assertThat(cluster.node("wien.1").membership().isActive()).isTrue();
    cluster.heal("wien", "linz");
    cluster.advance(SETTLING);
    assertState(cluster, "ALIVE", List.of("wien.1", "wien.2"), "linz.1", "linz.2");
    assertState(cluster, "ALIVE", List.of("linz.1", "linz.2"), "wien.1", "wien.2");
  }

  @Test
  void shouldNotCountListedInstanceAsMemberWhenItsDomainDoesNotReportIt() {
    Cluster cluster = Cluster.of(8);
    cluster.addToList("wien.1", "linz.1", "linz.9");
    cluster.start("wien.1", "linz.1");
    cluster.advance(SETTLING);
    assertState(cluster, "-", List.of("wien.1", "linz.1"), "linz.9");
  }
}
