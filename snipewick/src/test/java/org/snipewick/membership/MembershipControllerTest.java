package org.snipewick.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.identity.InstanceId;

class MembershipControllerTest {
  private static final Duration SETTLING = Duration.ofSeconds(15);

  private final Cluster cluster = Cluster.of(7);

  @BeforeEach
  void startTwoDomains() {
    cluster.addToList("wien.1", "wien.2", "wien.3", "linz.1", "linz.2");
    cluster.start("wien.1", "wien.2", "wien.3", "linz.1", "linz.2");
    cluster.advance(SETTLING);
  }

  private boolean isActive(String name) {
    return cluster.node(name).membership().isActive();
  }

  private List<LostProcess> recentLostProcesses(String name) {
    return cluster.node(name).membership().recentLostProcesses();
  }

  @Test
  void shouldHaveAllMembersAliveInViewAndBeActiveWhenStarted() {
    for (Cluster.Node node : cluster.nodes()) {
      assertThat(node.membership().isActive()).as(node.id().value()).isTrue();
      for (Cluster.Node other : cluster.nodes()) {
        assertThat(cluster.stateInViewOf(node.id().value(), other.id().value())).isEqualTo("ALIVE");
      }
    }
  }

  /**
   * Event; state in the views of local peers after 3 s; state in the views of remote members after
   * another 15 s; number of lost processes.
   */
  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "crash, DEAD, DEAD, 1",
    "pause, DEAD, DEAD, 1",
    "short pause, ALIVE, ALIVE, 0",
    "leave, LEAVING, LEAVING, 0",
    "leave and depart, DEAD, DEAD, 0",
    "leave and crash, DEAD, DEAD, 1",
    "quick restart, ALIVE, ALIVE, 1",
    "crash and later restart, ALIVE, ALIVE, 1"
  })
  void shouldAgreeOnStateOfMemberWhenItChanges(
      String event, String stateInDomain, String stateInOtherDomain, int lostProcesses) {
    MembershipController changing = cluster.node("wien.2").membership();
    switch (event) {
      case "crash" -> cluster.crash("wien.2");
      case "pause" -> cluster.pause("wien.2");
      case "short pause" -> {
        cluster.pause("wien.2");
        cluster.advance(Duration.ofMillis(900));
        cluster.resume("wien.2");
      }
      case "leave" -> changing.announceLeaving();
      case "leave and depart" -> {
        changing.announceLeaving();
        cluster.advance(Duration.ofSeconds(1));
        changing.depart();
      }
      case "leave and crash" -> {
        changing.announceLeaving();
        cluster.advance(Duration.ofSeconds(1));
        cluster.crash("wien.2");
      }
      case "quick restart" -> {
        cluster.crash("wien.2");
        cluster.start("wien.2");
      }
      default -> {
        cluster.crash("wien.2");
        cluster.advance(Duration.ofSeconds(4));
        cluster.start("wien.2");
      }
    }
    cluster.advance(Duration.ofSeconds(3));
    assertThat(cluster.stateInViewOf("wien.1", "wien.2")).isEqualTo(stateInDomain);
    assertThat(cluster.stateInViewOf("wien.3", "wien.2")).isEqualTo(stateInDomain);
    assertThat(recentLostProcesses("wien.1")).hasSize(lostProcesses);
    cluster.advance(SETTLING);
    assertThat(cluster.stateInViewOf("linz.1", "wien.2")).isEqualTo(stateInOtherDomain);
    assertThat(cluster.stateInViewOf("linz.2", "wien.2")).isEqualTo(stateInOtherDomain);
    assertThat(recentLostProcesses("linz.1")).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(longs = {1_100, 1_600, 2_500, 10_000, 3_600_000})
  void shouldStayInactiveUntilRoundIsAcknowledgedWhenPaused(long pausedMillis) {
    final long since = cluster.node("wien.2").membership().activeSinceEpochMillis();
    cluster.pause("wien.2");
    cluster.advance(Duration.ofMillis(pausedMillis));
    assertThat(isActive("wien.2")).as("before any task runs").isFalse();
    cluster.resume("wien.2");
    assertThat(isActive("wien.2")).as("after the held tasks").isFalse();
    cluster.advance(Duration.ofSeconds(6));
    assertThat(isActive("wien.2")).isTrue();
    assertThat(cluster.node("wien.2").membership().activeSinceEpochMillis())
        .isGreaterThanOrEqualTo(since + pausedMillis);
    assertThat(cluster.stateInViewOf("wien.1", "wien.2")).isEqualTo("ALIVE");
    assertThat(recentLostProcesses("wien.1")).as("returned with the same incarnation").isEmpty();
  }

  @Test
  void shouldBeInactiveUntilPausedPeerIsDeclaredDeadWhenBothWerePaused() {
    cluster.pause("wien.1");
    cluster.pause("wien.2");
    cluster.advance(Duration.ofSeconds(5));
    cluster.resume("wien.1");
    cluster.advance(Duration.ofMillis(1_400));
    assertThat(isActive("wien.1")).isFalse();
    cluster.advance(Duration.ofSeconds(3));
    assertThat(isActive("wien.1")).isTrue();
    assertThat(cluster.stateInViewOf("wien.1", "wien.2")).isEqualTo("DEAD");
  }

  @Test
  void shouldBeInactiveBeforeFirstRoundWhenJoining() {
    cluster.addToList("wien.4");
    cluster.start("wien.4");
    assertThat(isActive("wien.4")).isFalse();
    cluster.advance(Duration.ofMillis(600));
    assertThat(isActive("wien.4")).isFalse();
    cluster.advance(Duration.ofSeconds(4));
    assertThat(isActive("wien.4")).isTrue();
    assertThat(isActive("wien.1")).as("others stay active").isTrue();
  }

  @Test
  void shouldReportLostProcessesToJoiningMemberWhenTheyWereLostBeforeItStarted() {
    cluster.crash("wien.2");
    cluster.advance(Duration.ofSeconds(4));
    cluster.addToList("wien.4");
    cluster.start("wien.4");
    cluster.advance(Duration.ofSeconds(6));
    assertThat(recentLostProcesses("wien.4"))
        .extracting(LostProcess::id)
        .containsExactly(InstanceId.of("wien.2"));
    assertThat(recentLostProcesses("wien.4")).isEqualTo(recentLostProcesses("wien.1"));
  }

  @Test
  void shouldDropLostProcessWhenRetentionTimeHasPassed() {
    cluster.crash("wien.2");
    cluster.advance(Duration.ofMinutes(59));
    assertThat(recentLostProcesses("wien.1")).hasSize(1);
    cluster.advance(Duration.ofMinutes(2));
    assertThat(recentLostProcesses("wien.1")).isEmpty();
  }

  @Test
  void shouldStayActiveAndRejoinWhenDomainsAreCutAndHealed() {
    cluster.cut("wien", "linz");
    cluster.advance(Duration.ofSeconds(10));
    assertThat(cluster.stateInViewOf("wien.1", "linz.1")).isEqualTo("DEAD");
    assertThat(cluster.stateInViewOf("linz.1", "wien.1")).isEqualTo("DEAD");
    assertThat(isActive("wien.1")).isTrue();
    assertThat(isActive("linz.1")).isTrue();
    cluster.crash("wien.3");
    cluster.advance(Duration.ofMinutes(60));
    cluster.heal("wien", "linz");
    cluster.advance(Duration.ofSeconds(10));
    assertThat(cluster.stateInViewOf("wien.1", "linz.1")).isEqualTo("ALIVE");
    assertThat(cluster.stateInViewOf("linz.1", "wien.1")).isEqualTo("ALIVE");
    assertThat(cluster.stateInViewOf("linz.2", "wien.3")).isEqualTo("DEAD");
  }

  @Test
  void shouldJoinBySeedsWhenListCannotBeRead() {
    cluster.setListDown(true);
    List<org.snipewick.store.ListedInstance> seeds = cluster.listed().subList(0, 1);
    cluster.start("wien.9", seeds);
    cluster.advance(Duration.ofSeconds(8));
    assertThat(isActive("wien.9")).isTrue();
    assertThat(cluster.stateInViewOf("wien.9", "wien.3")).isEqualTo("ALIVE");
    assertThat(cluster.stateInViewOf("wien.9", "linz.2")).isEqualTo("ALIVE");
    assertThat(cluster.stateInViewOf("linz.1", "wien.9")).isEqualTo("ALIVE");
  }

  @Test
  void shouldStayInactiveWhenListCannotBeReadAndThereAreNoSeeds() {
    cluster.setListDown(true);
    cluster.start("graz.1", List.of());
    cluster.advance(Duration.ofMinutes(1));
    assertThat(isActive("graz.1")).isFalse();
  }

  @Test
  void shouldBecomeActiveAloneWhenListHasNoOtherInstance() {
    cluster.addToList("graz.1");
    cluster.start("graz.1");
    cluster.advance(Duration.ofSeconds(3));
    assertThat(isActive("graz.1")).isTrue();
  }

  @Test
  void shouldNotCountListedInstanceAsMemberWhenItNeverAnswers() {
    cluster.addToList("wien.7");
    cluster.advance(Duration.ofSeconds(10));
    assertThat(cluster.stateInViewOf("wien.1", "wien.7")).isEqualTo("-");
    assertThat(recentLostProcesses("wien.1")).isEmpty();
    assertThat(isActive("wien.1")).isTrue();
  }

  @Test
  void shouldStayInactiveWhenLaterProcessOfSameNameRuns() {
    final Cluster.Node first = cluster.node("wien.2");
    cluster.pause("wien.2");
    cluster.advance(Duration.ofSeconds(3));
    cluster.start("wien.2");
    cluster.advance(Duration.ofSeconds(5));
    first.timer().resume();
    cluster.advance(Duration.ofSeconds(5));
    assertThat(first.membership().isActive()).isFalse();
    assertThat(isActive("wien.2")).isTrue();
  }

  @Test
  void shouldNotifyListenersOnceWhenMemberDies() {
    List<String> changes = new java.util.ArrayList<>();
    cluster
        .node("wien.1")
        .membership()
        .subscribe(
            (before, after) ->
                changes.add(
                    before.find(InstanceId.of("wien.2")).orElseThrow().state()
                        + ">"
                        + after.find(InstanceId.of("wien.2")).orElseThrow().state()));
    cluster.crash("wien.2");
    cluster.advance(Duration.ofSeconds(10));
    assertThat(changes).containsExactly("ALIVE>DEAD");
  }
}
