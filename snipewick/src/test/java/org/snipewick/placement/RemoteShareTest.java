package org.snipewick.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
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

/** Plays a burst at the brokers of two domains without endpoints while a third one has room. */
class RemoteShareTest {
  private static final int BROKERS = 3;
  private static final int ENDPOINTS = 5;
  private static final int SLOTS = 6;
  private static final long VALID_UNTIL_NANOS = Duration.ofSeconds(1).toNanos();

  /** Two domains that each used all free slots would fill the third one twice. */
  @Test
  void shouldLeaveRoomWhenBrokersOfOtherDomainsPlaceAtOnce() {
    PoolPlacement first = pool("a");
    PoolPlacement second = pool("b");
    first.setBrokers(BROKERS);
    second.setBrokers(BROKERS);
    int free = ENDPOINTS * SLOTS;
    assertThat(placeBurst(first, free) + placeBurst(second, free)).isEqualTo(free * 2 / BROKERS);
  }

  /** The bound must follow newer counts, or a domain without endpoints would never be served. */
  @Test
  void shouldPlaceAgainWhenNewerCountsArrive() {
    PoolPlacement pool = pool("a");
    pool.setBrokers(BROKERS);
    int share = ENDPOINTS * SLOTS / BROKERS;
    assertThat(placeBurst(pool, 2 * share)).isEqualTo(share);
    pool.setPeersInFlight(Map.of(), true, VALID_UNTIL_NANOS);
    assertThat(pool.decide(2)).hasSize((ENDPOINTS * SLOTS - share) / BROKERS);
  }

  @Test
  void shouldUseAllFreeSlotsWhenInstanceIsNoBroker() {
    assertThat(placeBurst(pool("a"), ENDPOINTS * SLOTS)).isEqualTo(ENDPOINTS * SLOTS);
  }

  private static int placeBurst(PoolPlacement pool, int requests) {
    for (int number = 0; number < requests; number++) {
      pool.add(
          new WaitingRequest(
              "r" + number, Tier.ONE, 1, VALID_UNTIL_NANOS, VALID_UNTIL_NANOS, 0, Set.of()),
          1);
    }
    return pool.decide(1).size();
  }

  private static PoolPlacement pool(String domain) {
    PoolPlacement pool =
        PoolPlacement.of(
            FailureDomain.of(domain),
            QueueOrder.byTierOnTimeFirst(),
            WaitLimit.untilTargetLatency(),
            new SplittableRandom(1));
    List<RegisteredEndpoint> listed = new ArrayList<>();
    for (int number = 0; number < ENDPOINTS; number++) {
      listed.add(
          new RegisteredEndpoint(
              EndpointId.of("e" + number),
              1,
              PoolName.of("planner"),
              FailureDomain.of("c"),
              "127.0.0.1",
              1,
              SLOTS,
              false));
    }
    pool.update(listed);
    return pool;
  }
}
