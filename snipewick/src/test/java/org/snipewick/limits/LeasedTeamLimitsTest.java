package org.snipewick.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipewick.catalogue.Catalogue;
import org.snipewick.catalogue.CatalogueSource;
import org.snipewick.catalogue.Entry;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.failure.Outcome;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.TeamName;
import org.snipewick.identity.Tier;
import org.snipewick.membership.Member;
import org.snipewick.membership.MembershipView;
import org.snipewick.membership.Rendezvous;
import org.snipewick.membership.SettableMembership;
import org.snipewick.peer.InMemoryPeers;
import org.snipewick.time.VirtualTimerService;

class LeasedTeamLimitsTest {
  private static final TeamName TEAM = TeamName.of("team");
  private static final double TOKENS_PER_SECOND = 10_000;
  private static final int REQUEST_TOKENS = 100;
  private static final String[] NAMES = {"a.1", "a.2", "b.1", "b.2"};

  private final VirtualTimerService timer = VirtualTimerService.of(0);
  private final InMemoryPeers peers = new InMemoryPeers(timer, Duration.ofMillis(1));
  private final Map<String, SettableMembership> memberships = new LinkedHashMap<>();
  private final Map<String, LeasedTeamLimits> limits = new LinkedHashMap<>();

  LeasedTeamLimitsTest() {
    for (String name : NAMES) {
      SettableMembership membership =
          new SettableMembership(SettableMembership.viewOf(name, NAMES));
      memberships.put(name, membership);
      limits.put(
          name,
          LeasedTeamLimits.start(
              membership, peers.join(InstanceId.of(name)), timer, new FixedCatalogue(catalogue())));
    }
  }

  // Name of the case; weights of the four instances; offered load as a multiple of the limit; fault
  // that begins after 10 s; lower and upper bound of the load admitted in the 30 s after that, as
  // multiples of the limit.
  @ParameterizedTest
  @CsvSource({
    "steady, 1 1 1 1, 0.5, NONE, 0.49, 0.51",
    "over, 1 1 1 1, 3, NONE, 0.90, 1.01",
    "skewed, 20 1 1 1, 3, NONE, 0.90, 1.01",
    "single, 1 0 0 0, 3, NONE, 0.85, 1.01",
    "coordinator crashes, 1 1 1 1, 3, COORDINATOR_CRASH, 0.50, 1.05",
    "coordinator cut off and inactive, 1 1 1 1, 3, COORDINATOR_CUT_INACTIVE, 0.80, 1.10",
    "coordinator cut off and still active, 1 1 1 1, 3, COORDINATOR_CUT_ACTIVE, 0.80, 1.75",
    "domains cut, 1 1 1 1, 3, DOMAINS_CUT, 0.80, 1.10",
    "domains cut and skewed, 20 1 1 1, 3, DOMAINS_CUT, 0.50, 1.60"
  })
  void shouldBoundAdmissionOverAllInstancesWhenFaultsOccur(
      String name, String weights, double load, Fault fault, double min, double max) {
    double[] shares = weights(weights);
    double warmUp = offer(10, load, shares);
    assertThat(warmUp).isLessThanOrEqualTo(10 * Math.max(1, max) + 1);
    fault.begin.accept(this);

    assertThat(offer(30, load, shares) / 30).as(name).isBetween(min, max);
  }

  @Test
  void shouldBoundBurstWhenTeamWasIdle() {
    double admitted = offer(1, 50, weights("1 1 1 1"));

    assertThat(admitted).isLessThan(2);
  }

  @Test
  void shouldAdmitFirstBurstUpToBaseShareWhenTeamIsNew() {
    int admitted = 0;
    while (limits.get("a.1").tryAcquire(TEAM, REQUEST_TOKENS).isEmpty()) {
      limits.get("a.1").release(TEAM, REQUEST_TOKENS, REQUEST_TOKENS);
      admitted++;
    }
    assertThat(admitted).isBetween(3, 10);
  }

  @Test
  void shouldRefuseWithRetryAfterWhenLimitIsExceeded() {
    offer(5, 3, weights("1 1 1 1"));
    Failure failure = null;
    while (failure == null) {
      failure = limits.get("a.1").tryAcquire(TEAM, 1_000).orElse(null);
    }

    assertThat(failure.type()).isEqualTo(FailureType.LIMIT_EXCEEDED);
    assertThat(failure.outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(failure.retryAfter()).isPresent();
  }

  @Test
  void shouldReturnUnusedTokensWhenAnswerIsShort() {
    int admitted = 0;
    for (int i = 0; i < 2_000; i++) {
      LeasedTeamLimits receiver = limits.get("a.1");
      if (receiver.tryAcquire(TEAM, 2_000).isEmpty()) {
        receiver.release(TEAM, 2_000, REQUEST_TOKENS);
        admitted++;
      }
      timer.advance(Duration.ofMillis(10));
    }

    assertThat(admitted)
        .as("requests admitted in 20 s; the limit allows 2,000 of 100 tokens")
        .isGreaterThan(1_000);
  }

  @Test
  void shouldBoundRequestsInFlightOverAllInstancesWhenNoneEnds() {
    offer(10, 1, weights("1 1 1 1"));
    int inFlight = 0;
    for (int i = 0; i < 1_000; i++) {
      for (LeasedTeamLimits each : limits.values()) {
        inFlight += each.tryAcquire(TEAM, 1).isEmpty() ? 1 : 0;
      }
      timer.advance(Duration.ofMillis(10));
    }

    assertThat(inFlight).isBetween(30, 40 + NAMES.length);
  }

  /**
   * Offers requests for some seconds, divided among the instances by the shares. Returns the
   * admitted tokens in seconds of the limit.
   */
  private double offer(int seconds, double load, double[] shares) {
    double requestsPerTick = load * TOKENS_PER_SECOND / REQUEST_TOKENS / 100;
    double[] dueRequests = new double[shares.length];
    long admitted = 0;
    for (int tick = 0; tick < seconds * 100; tick++) {
      for (int i = 0; i < shares.length; i++) {
        dueRequests[i] += requestsPerTick * shares[i];
        while (dueRequests[i] >= 1) {
          dueRequests[i]--;
          LeasedTeamLimits receiver = limits.get(NAMES[i]);
          if (receiver != null && receiver.tryAcquire(TEAM, REQUEST_TOKENS).isEmpty()) {
            receiver.release(TEAM, REQUEST_TOKENS, REQUEST_TOKENS);
            admitted++;
          }
        }
      }
      timer.advance(Duration.ofMillis(10));
    }
    return admitted * REQUEST_TOKENS / TOKENS_PER_SECOND;
  }

  private static double[] weights(String text) {
    List<Double> weights = new ArrayList<>();
    for (String word : text.split(" ", -1)) {
      weights.add(Double.valueOf(word));
    }
    double sum = weights.stream().mapToDouble(Double::doubleValue).sum();
    return weights.stream().mapToDouble(weight -> weight / sum).toArray();
  }

  private String coordinator() {
    return Rendezvous.first("team/" + TEAM, List.of(NAMES), name -> name).orElseThrow();
  }

  private void crashCoordinator() {
    String coordinator = coordinator();
    peers.crash(InstanceId.of(coordinator));
    limits.remove(coordinator);
    memberships.get(coordinator).setActive(false, 0);
    timer.advance(Duration.ofSeconds(2));
    memberships.forEach((name, membership) -> markDead(membership, name, coordinator));
  }

  private void cutOffCoordinator() {
    for (String name : NAMES) {
      if (!name.equals(coordinator())) {
        peers.cut(InstanceId.of(name), InstanceId.of(coordinator()));
      }
    }
  }

  private void cutOffAndDeactivateCoordinator() {
    cutOffCoordinator();
    memberships.get(coordinator()).setActive(false, 0);
  }

  private void cutDomains() {
    for (String one : NAMES) {
      for (String other : NAMES) {
        if (one.charAt(0) != other.charAt(0)) {
          peers.cut(InstanceId.of(one), InstanceId.of(other));
          markDead(memberships.get(one), one, other);
        }
      }
    }
  }

  private static void markDead(SettableMembership membership, String self, String dead) {
    if (!self.equals(dead)) {
      membership.setView(
          MembershipView.ofAll(
              InstanceId.of(self),
              membership.view().members().values().stream()
                  .map(
                      member ->
                          member.id().value().equals(dead)
                              ? member.withState(Member.State.DEAD)
                              : member)
                  .toList()));
    }
  }

  private static Catalogue catalogue() {
    return Catalogue.ofAll(
        1,
        List.of(
            new Entry.Team(TEAM.value(), "owner", Tier.ONE, "00", TOKENS_PER_SECOND, 100_000, 40)));
  }

  private record FixedCatalogue(Catalogue current) implements CatalogueSource {
    @Override
    public void subscribe(Consumer<Catalogue> listener) {
      // The catalogue does not change.
    }
  }

  enum Fault {
    NONE(test -> {}),
    COORDINATOR_CRASH(LeasedTeamLimitsTest::crashCoordinator),
    COORDINATOR_CUT_INACTIVE(LeasedTeamLimitsTest::cutOffAndDeactivateCoordinator),
    COORDINATOR_CUT_ACTIVE(LeasedTeamLimitsTest::cutOffCoordinator),
    DOMAINS_CUT(LeasedTeamLimitsTest::cutDomains);

    private final Consumer<LeasedTeamLimitsTest> begin;

    Fault(Consumer<LeasedTeamLimitsTest> begin) {
      this.begin = begin;
    }
  }
}
