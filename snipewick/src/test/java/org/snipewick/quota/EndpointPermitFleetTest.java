package org.snipewick.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.TeamName;
import org.snipewick.route.TeamPlan;
import org.snipewick.route.TeamQuota;
import org.snipewick.time.VirtualTimerService;

/** Plays requests to one endpoint with a limit at many instances. */
class EndpointPermitFleetTest {
  private static final EndpointId ENDPOINT = EndpointId.of("engine-7");
  private static final Duration STEP = Duration.ofMillis(20);
  private static final int STEPS_PER_SECOND = 50;
  private static final int SECONDS = 40;
  private static final int STEPS_PER_WINDOW = 4 * STEPS_PER_SECOND;

  /** Requests that find no endpoint leave the queue after this time. */
  private static final int MAX_WAIT_STEPS = 60;

  private final VirtualTimerService timer = VirtualTimerService.of(0);
  private final SplittableRandom random = new SplittableRandom(8);
  private final int[] arrivals = new int[SECONDS * STEPS_PER_SECOND];
  private final Map<InstanceId, Integer> waitingUntil = new HashMap<>();
  private QuotaFleet fleet;
  private int instances;

  /** Guards against instances that each keep the limit, or their part of it, by themselves. */
  @ParameterizedTest
  @CsvSource({
    "8, 200, 1.4", "8, 200, 8", "8, 200, 40",
    "59, 510, 1.4", "59, 510, 8", "59, 510, 40",
    "340, 700, 1.4", "340, 700, 8", "340, 700, 40"
  })
  void shouldKeepLimitAndUseItWhenAllInstancesHaveRequests(int count, int lagMillis, double limit) {
    start(count, lagMillis, limit);
    play(20 * limit, false);
    assertThat((double) maxInWindow()).isLessThanOrEqualTo(1.5 * 4 * limit + 5);
    assertThat((double) total()).isGreaterThan(0.5 * limit * SECONDS);
  }

  /** Guards against permits of a dead holder that are granted again by the next one. */
  @ParameterizedTest
  @CsvSource({"8, 200, 1.4", "59, 510, 8", "340, 700, 40"})
  void shouldKeepLimitWhenHoldersDieAndReturn(int count, int lagMillis, double limit) {
    start(count, lagMillis, limit);
    play(20 * limit, true);
    assertThat((double) maxInWindow()).isLessThanOrEqualTo(1.5 * 4 * limit + 5);
    assertThat((double) total()).isGreaterThan(0.25 * limit * SECONDS);
  }

  @Test
  void shouldNeedNoPermitWhenEndpointNamesNoLimit() {
    start(8, 200, 4);
    fleet.setEndpointLimits(endpoint -> OptionalDouble.empty());
    assertThat(fleet.permits(all().get(0)).isAvailable(ENDPOINT, timer.nanoTime())).isTrue();
  }

  private void start(int count, int lagMillis, double limit) {
    instances = count;
    TeamPlan team =
        new TeamPlan(
            TeamName.of("t"), Set.of("k"), Optional.empty(), new TeamQuota(1_000, 1, true, 200));
    QuotaBounds bounds = new QuotaBounds(Duration.ofSeconds(8), 0.1, 1_000);
    fleet = new QuotaFleet(timer, random, bounds, team, 4, lagMillis);
    fleet.setEndpointLimits(endpoint -> OptionalDouble.of(limit));
    all().forEach(fleet::start);
    timer.advance(Duration.ofSeconds(15));
  }

  private List<InstanceId> all() {
    return IntStream.range(0, instances).mapToObj(number -> InstanceId.of("i" + number)).toList();
  }

  /** Requests arrive at random instances and wait there for a permit. */
  private void play(double requestsPerSecond, boolean isKilling) {
    for (int step = 0; step < arrivals.length; step++) {
      if (isKilling && step % (10 * STEPS_PER_SECOND) == 5 * STEPS_PER_SECOND) {
        restartHolders(step % (20 * STEPS_PER_SECOND) < 10 * STEPS_PER_SECOND);
      }
      double expected = requestsPerSecond / STEPS_PER_SECOND;
      for (; expected > 0; expected--) {
        if (random.nextDouble() < expected) {
          waitingUntil.put(all().get(random.nextInt(instances)), step + MAX_WAIT_STEPS);
        }
      }
      place(step);
      timer.advance(STEP);
    }
  }

  private void place(int step) {
    waitingUntil.values().removeIf(until -> until < step);
    for (InstanceId instance : List.copyOf(waitingUntil.keySet())) {
      if (fleet.permits(instance).isAvailable(ENDPOINT, timer.nanoTime())) {
        fleet.permits(instance).use(ENDPOINT, timer.nanoTime());
        waitingUntil.remove(instance);
        arrivals[step]++;
      }
    }
  }

  /** Kills all holders of slots; every other time, their instances start again at once. */
  private void restartHolders(boolean isAtOnce) {
    List<InstanceId> holders =
        all().stream().filter(instance -> fleet.heldSlots(instance) > 0).toList();
    holders.stream().limit(isAtOnce ? holders.size() : 1).forEach(this::restart);
  }

  private void restart(InstanceId instance) {
    waitingUntil.remove(instance);
    fleet.kill(instance);
    fleet.start(instance);
  }

  private int total() {
    return IntStream.of(arrivals).sum();
  }

  private int maxInWindow() {
    int max = 0;
    int sum = 0;
    for (int step = 0; step < arrivals.length; step++) {
      sum += arrivals[step] - (step >= STEPS_PER_WINDOW ? arrivals[step - STEPS_PER_WINDOW] : 0);
      max = Math.max(max, sum);
    }
    return max;
  }
}
