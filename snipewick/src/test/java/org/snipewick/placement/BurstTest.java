package org.snipewick.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.PoolName;
import org.snipewick.identity.Tier;
import org.snipewick.registry.RegisteredEndpoint;

/**
 * Plays a burst of several times the load that a pool can serve, in three tiers, and compares what
 * callers get with that under the baseline. Callers return once, when they are told to.
 */
class BurstTest {
  private static final FailureDomain DOMAIN = FailureDomain.of("linz");
  private static final long STEP_NANOS = Duration.ofMillis(10).toNanos();
  private static final long LENGTH_NANOS = Duration.ofSeconds(24).toNanos();
  private static final long BURST_START_NANOS = Duration.ofSeconds(4).toNanos();
  private static final long BURST_END_NANOS = Duration.ofSeconds(10).toNanos();
  private static final long CALLER_PATIENCE_NANOS = Duration.ofSeconds(4).toNanos();
  private static final double MEAN_SERVICE_NANOS = Duration.ofSeconds(1).toNanos();
  private static final double NANOS_PER_SECOND = 1e9;
  private static final Duration LONGEST_TARGET_LATENCY = Duration.ofSeconds(1);
  private static final Duration SHORTEST_TARGET_LATENCY = Duration.ofMillis(400);
  private static final int ENDPOINTS = 6;
  private static final int SLOTS = 7;
  private static final double REQUESTS_PER_SECOND = 30;
  private static final double BURST_FACTOR = 3;

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void shouldRefuseWithinTargetLatencyWhenPoolIsOverloaded(long seed) {
    Result baseline = new Play(WaitLimit.halfOfTimeLeft(), seed).run();
    Result result = new Play(WaitLimit.untilTargetLatency(), seed).run();
    assertThat(result.onTime(Tier.ONE)).isGreaterThanOrEqualTo(baseline.onTime(Tier.ONE));
    assertThat(result.longestWaitOfRefusedNanos)
        .isLessThanOrEqualTo(LONGEST_TARGET_LATENCY.toNanos() + STEP_NANOS);
    assertThat(result.waitOfRefusedNanos).isLessThan(baseline.waitOfRefusedNanos / 2);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void shouldServeHigherTiersMoreOftenWhenPoolIsOverloaded(long seed) {
    Result result = new Play(WaitLimit.untilTargetLatency(), seed).run();
    assertThat(result.servedShare(Tier.ONE)).isGreaterThan(result.servedShare(Tier.TWO));
    assertThat(result.servedShare(Tier.TWO)).isGreaterThan(result.servedShare(Tier.THREE));
    assertThat(result.servedShare(Tier.ONE)).isGreaterThan(0.9);
  }

  /** One attempt of a caller. */
  private record Attempt(String id, Tier tier, long firstNanos, long atNanos, boolean isReturn) {
    private long aimNanos() {
      Duration aim = tier == Tier.ONE ? LONGEST_TARGET_LATENCY : SHORTEST_TARGET_LATENCY;
      return aim.toNanos();
    }

    private Attempt returningAt(long nanos) {
      return new Attempt(id + "-again", tier, firstNanos, nanos, true);
    }
  }

  private record Running(EndpointId endpoint, long placedNanos, long endNanos) {}

  /** What callers got. */
  private static final class Result {
    private final Map<Tier, Integer> asked = new EnumMap<>(Tier.class);
    private final Map<Tier, Integer> served = new EnumMap<>(Tier.class);
    private final Map<Tier, Integer> onTime = new EnumMap<>(Tier.class);
    private long longestWaitOfRefusedNanos;
    private long waitOfRefusedNanos;

    private int onTime(Tier tier) {
      return onTime.getOrDefault(tier, 0);
    }

    private double servedShare(Tier tier) {
      return served.getOrDefault(tier, 0) / (double) asked.get(tier);
    }
  }

  /** One play of the load. */
  private static final class Play {
    private final PoolPlacement pool;
    private final SplittableRandom random;
    private final Result result = new Result();
    private final Map<String, Attempt> waiting = new HashMap<>();
    private final PriorityQueue<Attempt> returning =
        new PriorityQueue<>(Comparator.comparingLong(Attempt::atNanos));
    private final PriorityQueue<Running> running =
        new PriorityQueue<>(Comparator.comparingLong(Running::endNanos));
    private int sequence;

    private Play(WaitLimit waitLimit, long seed) {
      pool =
          PoolPlacement.of(
              DOMAIN, QueueOrder.byTierOnTimeFirst(), waitLimit, new SplittableRandom(1));
      random = new SplittableRandom(seed);
      List<RegisteredEndpoint> endpoints = new ArrayList<>();
      for (int index = 0; index < ENDPOINTS; index++) {
        EndpointId id = EndpointId.of("e" + index);
        PoolName name = PoolName.of("planner");
        endpoints.add(new RegisteredEndpoint(id, 1, name, DOMAIN, "127.0.0.1", 1, SLOTS, false));
      }
      pool.update(endpoints);
    }

    private Result run() {
      for (long now = 0; now < LENGTH_NANOS; now += STEP_NANOS) {
        endRequests(now);
        addRequests(now);
        decide(now);
      }
      return result;
    }

    private void endRequests(long now) {
      while (!running.isEmpty() && running.peek().endNanos() <= now) {
        Running ended = running.remove();
        pool.end(ended.endpoint(), AttemptResult.ANSWERED, ended.placedNanos(), now);
      }
    }

    private void addRequests(long now) {
      while (!returning.isEmpty() && returning.peek().atNanos() <= now) {
        add(returning.remove());
      }
      boolean isBurst = now >= BURST_START_NANOS && now < BURST_END_NANOS;
      double rate = REQUESTS_PER_SECOND * (isBurst ? BURST_FACTOR : 1);
      if (random.nextDouble() < rate * STEP_NANOS / NANOS_PER_SECOND) {
        Tier tier = Tier.values()[random.nextInt(3)];
        result.asked.merge(tier, 1, Integer::sum);
        add(new Attempt("r" + sequence++, tier, now, now, false));
      }
    }

    private void add(Attempt attempt) {
      waiting.put(attempt.id(), attempt);
      long now = attempt.atNanos();
      long onTimeUntil = now + attempt.aimNanos();
      long startUntil = now + CALLER_PATIENCE_NANOS;
      pool.add(
          new WaitingRequest(
              attempt.id(), attempt.tier(), now, onTimeUntil, startUntil, 0, Set.of()));
    }

    private void decide(long now) {
      for (PlacementDecision decision : pool.decide(now)) {
        Attempt attempt = waiting.remove(decision.request().id());
        if (decision instanceof PlacementDecision.Placed placed) {
          place(attempt, placed.endpoint().id(), now);
        } else {
          refuse(attempt, ((PlacementDecision.Refused) decision).retryAfter(), now);
        }
      }
    }

    private void place(Attempt attempt, EndpointId endpoint, long now) {
      result.served.merge(attempt.tier(), 1, Integer::sum);
      if (now - attempt.firstNanos() <= attempt.aimNanos()) {
        result.onTime.merge(attempt.tier(), 1, Integer::sum);
      }
      long serviceNanos = (long) (MEAN_SERVICE_NANOS * (0.2 + 1.6 * random.nextDouble()));
      running.add(new Running(endpoint, now, now + serviceNanos));
    }

    private void refuse(Attempt attempt, Duration retryAfter, long now) {
      result.longestWaitOfRefusedNanos =
          Math.max(result.longestWaitOfRefusedNanos, now - attempt.atNanos());
      result.waitOfRefusedNanos += now - attempt.atNanos();
      if (!attempt.isReturn()) {
        returning.add(attempt.returningAt(now + retryAfter.toNanos()));
      }
    }
  }
}
