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
  private static final Duration ROUNDS = MembershipSettings.defaults().digestPeriod();
  private static final int FEW = 5;
  private static final Duration CUT_NOTICED =
      MembershipSettings.defaults().domainTimeout().plus(ROUNDS.multipliedBy(FEW));

  private void assertSeen(Cluster cluster, String state, List<String> by, String... members) {
    for (String observer : by) {
      for (String member : members) {
        assertThat(cluster.seen(observer, member))
            .as("%s as %s sees it", member, observer)
            .isEqualTo(state);
      }
    }
  }

  /** Starts a domain that only one neighbour has heard of when the domains are cut. */
  private static Cluster startAndCutWhenOneNeighbourKnows(long seed, String... wien) {
    Cluster cluster = Cluster.of(seed);
    cluster.list(wien);
    cluster.start(wien);
    cluster.advance(SETTLING);
    ListedInstance known = cluster.listed().get(wien.length - 1);
    cluster.listDown(true);
    cluster.start("linz.1", List.of(known));
    for (int step = 0; step < MAX_STEPS && cluster.seen(known.id(), "linz.1").equals("-"); step++) {
      cluster.advance(STEP);
    }
    cluster.cut("wien", "linz");
    assertThat(cluster.seen(known.id(), "linz.1")).isEqualTo("ALIVE");
    assertThat(cluster.seen(wien[0], "linz.1")).isEqualTo("-");
    return cluster;
  }

  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void shouldLearnOfDomainFromNeighbourWhenCutFromItBeforeHearingIt(long seed) {
    String[] wien = {"wien.1", "wien.2", "wien.3"};
    Cluster cluster = startAndCutWhenOneNeighbourKnows(seed, wien);
    cluster.advance(CUT_NOTICED);
    assertSeen(cluster, "DEAD", List.of(wien), "linz.1");
    cluster.heal("wien", "linz");
    cluster.advance(SETTLING);
    assertSeen(cluster, "ALIVE", List.of(wien), "linz.1");
  }

  @Test
  void shouldLearnOfDomainFromNeighbourWhenRestartedDuringCut() {
    Cluster cluster = startAndCutWhenOneNeighbourKnows(9, "wien.1", "wien.2");
    cluster.crash("wien.1");
    cluster.advance(SETTLING);
    cluster.start("wien.1", cluster.listed());
    cluster.cut("wien", "linz");
    cluster.advance(SETTLING);
    assertSeen(cluster, "DEAD", List.of("wien.1", "wien.2"), "linz.1");
  }

  @Test
  void shouldTakeListedDomainForDeadWhenItWasNeverHeard() {
    Cluster cluster = Cluster.of(7);
    cluster.list("wien.1", "wien.2", "linz.1", "linz.2");
    cluster.start("wien.1", "wien.2", "linz.1", "linz.2");
    cluster.cut("wien", "linz");
    cluster.advance(CUT_NOTICED);
    assertSeen(cluster, "DEAD", List.of("wien.1", "wien.2"), "linz.1", "linz.2");
    assertSeen(cluster, "DEAD", List.of("linz.1", "linz.2"), "wien.1", "wien.2");
    assertThat(cluster.node("wien.1").membership().hasStanding()).isTrue();
    cluster.heal("wien", "linz");
    cluster.advance(SETTLING);
    assertSeen(cluster, "ALIVE", List.of("wien.1", "wien.2"), "linz.1", "linz.2");
    assertSeen(cluster, "ALIVE", List.of("linz.1", "linz.2"), "wien.1", "wien.2");
  }

  @Test
  void shouldNotCountListedInstanceAsMemberWhenItsDomainAnswersWithoutIt() {
    Cluster cluster = Cluster.of(8);
    cluster.list("wien.1", "linz.1", "linz.9");
    cluster.start("wien.1", "linz.1");
    cluster.advance(SETTLING);
    assertSeen(cluster, "-", List.of("wien.1", "linz.1"), "linz.9");
  }
}
