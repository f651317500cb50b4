package org.snipewick.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.PoolName;
import org.snipewick.identity.Tier;
import org.snipewick.registry.RegisteredEndpoint;

/**
 * Plays a burst that arrives at all instances of a fleet between two updates of the counts in
 * flight, and counts what endpoints receive beyond their slots.
 */
class LargeFleetTest {
  private static final int DOMAINS = 6;
  private static final int SLOTS = 7;
  private static final int USED_SLOTS = 3;
  private static final Duration VALIDITY = Duration.ofSeconds(1);

  @ParameterizedTest
  @CsvSource({"95, 63", "95, 37", "342, 120"})
  void shouldOverloadFewerEndpointsWhenInstancesChooseAmongSamples(int instances, int endpoints) {
    int requests = endpoints * (SLOTS - USED_SLOTS) / 2;
    int baseline = requestsBeyondSlots(instances, 1, endpoints, requests);
    int sampled = requestsBeyondSlots(instances, instances, endpoints, requests);
    assertThat(sampled).isLessThan(baseline / 2);
  }

  @ParameterizedTest
  @CsvSource({"8, 13", "7, 6"})
  void shouldChooseAmongAllEndpointsWhenFleetIsSmall(int instances, int endpoints) {
    int requests = endpoints * (SLOTS - USED_SLOTS) / 2;
    assertThat(requestsBeyondSlots(instances, instances, endpoints, requests))
        .isEqualTo(requestsBeyondSlots(instances, 1, endpoints, requests));
  }

  /** Returns the requests beyond the slots of their endpoints after one burst. */
  private static int requestsBeyondSlots(
      int instances, int assumedInstances, int endpoints, int requests) {
    List<PoolPlacement> fleet = new ArrayList<>();
    for (int index = 0; index < instances; index++) {
      fleet.add(instance(index, assumedInstances, endpoints));
    }
    Map<EndpointId, Integer> received = new HashMap<>();
    SplittableRandom random = new SplittableRandom(1);
    for (int request = 0; request < requests; request++) {
      PoolPlacement chosen = fleet.get(random.nextInt(instances));
      chosen.add(
          new WaitingRequest(
              "r" + request, Tier.ONE, 1, VALIDITY.toNanos(), VALIDITY.toNanos(), 0, Set.of()));
      for (PlacementDecision decision : chosen.decide(1)) {
        received.merge(((PlacementDecision.Placed) decision).endpoint().id(), 1, Integer::sum);
      }
    }
    return received.values().stream()
        .mapToInt(count -> Math.max(0, count + USED_SLOTS - SLOTS))
        .sum();
  }

  private static PoolPlacement instance(int index, int assumedInstances, int endpoints) {
    PoolPlacement pool =
        PoolPlacement.of(
            domain(index),
            QueueOrder.byTierOnTimeFirst(),
            WaitLimit.untilTargetLatency(),
            new SplittableRandom(index));
    List<RegisteredEndpoint> listed = new ArrayList<>();
    Map<EndpointId, Integer> inFlight = new HashMap<>();
    for (int number = 0; number < endpoints; number++) {
      EndpointId id = EndpointId.of("e" + number);
      listed.add(
          new RegisteredEndpoint(
              id, 1, PoolName.of("planner"), domain(number), "127.0.0.1", 1, SLOTS, false));
      inFlight.put(id, USED_SLOTS);
    }
    pool.update(listed);
    pool.setInstances(assumedInstances);
    pool.setPeersInFlight(inFlight, true, VALIDITY.toNanos());
    return pool;
  }

  private static FailureDomain domain(int index) {
    return FailureDomain.of("d" + index % DOMAINS);
  }
}
