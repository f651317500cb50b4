package org.snipewick.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.PoolName;
import org.snipewick.identity.Tier;
import org.snipewick.registry.RegisteredEndpoint;

/** Plays teams of different size at a broker, one of which sends six times its usual load. */
class TeamSharesTest {
  private static final int TEAMS = 16;
  private static final int SURGING = TEAMS - 1;
  private static final int SLOTS = 40;
  private static final long STEP_NANOS = Duration.ofMillis(5).toNanos();
  private static final long WORK_NANOS = Duration.ofMillis(400).toNanos();
  private static final long TARGET_NANOS = Duration.ofSeconds(1).toNanos();
  private static final Duration CALM = Duration.ofSeconds(30);
  private static final Duration SURGE = Duration.ofSeconds(15);

  /** Requests per second of all teams; 80% of what the endpoint can answer. */
  private static final double USUAL_RATE = 80;

  @Test
  void shouldCostOthersNothingWhenTeamSendsSixTimesItsLoad() {
    Map<String, Double> shares = playSurge(true);
    shares.forEach((team, share) -> assertThat(share).as(team).isGreaterThan(0.95));
  }

  /** Shows that the test above would fail without the precedence of teams. */
  @Test
  void shouldLoseRequestsOfOthersWhenQueueDoesNotKnowTeams() {
    Map<String, Double> shares = playSurge(false);
    assertThat(shares.values().stream().mapToDouble(share -> share).average().orElseThrow())
        .isLessThan(0.85);
  }

  /** Returns the part of the requests of each other team that was placed during the surge. */
  private static Map<String, Double> playSurge(boolean isBroker) {
    PoolPlacement pool =
        PoolPlacement.of(
            FailureDomain.of("d"),
            QueueOrder.byTierOnTimeFirst(),
            WaitLimit.untilTargetLatency(),
            new SplittableRandom(1));
    EndpointId endpoint = EndpointId.of("e");
    pool.update(
        List.of(
            new RegisteredEndpoint(
                endpoint,
                1,
                PoolName.of("planner"),
                FailureDomain.of("d"),
                "127.0.0.1",
                1,
                SLOTS,
                false)));
    if (isBroker) {
      pool.setBrokers(1);
    }
    SplittableRandom random = new SplittableRandom(7);
    Map<String, Integer> sent = new HashMap<>();
    Map<String, Integer> placed = new HashMap<>();
    Set<String> counted = new HashSet<>();
    List<Long> running = new ArrayList<>();
    long calmNanos = CALM.toNanos();
    int number = 0;
    for (long now = 0; now < calmNanos + SURGE.toNanos(); now += STEP_NANOS) {
      long current = now;
      running.removeIf(
          startNanos -> {
            boolean isOver = current - startNanos >= WORK_NANOS;
            if (isOver) {
              pool.end(endpoint, AttemptResult.ANSWERED, startNanos, current);
            }
            return isOver;
          });
      boolean isSurge = now >= calmNanos;
      for (int team = 0; team < TEAMS; team++) {
        if (random.nextDouble() < arrivals(team, isSurge)) {
          String id = "r" + number++;
          String name = "t" + team;
          pool.add(
              new WaitingRequest(
                      id, Tier.TWO, now, now + TARGET_NANOS, now + 2 * TARGET_NANOS, 0, Set.of())
                  .withTeam(name),
              now);
          if (isSurge && team != SURGING) {
            counted.add(id);
            sent.merge(name, 1, Integer::sum);
          }
        }
      }
      for (PlacementDecision decision : pool.decide(now)) {
        if (decision instanceof PlacementDecision.Placed) {
          running.add(now);
          if (counted.contains(decision.request().id())) {
            placed.merge(decision.request().team(), 1, Integer::sum);
          }
        }
      }
    }
    Map<String, Double> shares = new HashMap<>();
    sent.forEach((name, all) -> shares.put(name, placed.getOrDefault(name, 0) / (double) all));
    return shares;
  }

  /** Returns the mean number of requests of a team in a step; later teams are larger. */
  private static double arrivals(int team, boolean isSurge) {
    double weight = (team + 4.0) / (TEAMS * (TEAMS - 1) / 2.0 + 4.0 * TEAMS);
    double perSecond = USUAL_RATE * weight * (isSurge && team == SURGING ? 6 : 1);
    return perSecond * STEP_NANOS / 1e9;
  }
}
