package org.snipewick.broker;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.identity.InstanceId;

/** Kills, freezes and cuts off brokers and other instances in series, several at a time. */
class BrokerFaultsTest {
  private static final int INSTANCES = 59;
  private static final int STEPS = 80;
  private static final Duration STEP = Duration.ofMillis(120);
  private static final double REQUESTS_PER_SECOND = 750;

  private final Set<InstanceId> killed = new HashSet<>();

  /** Guards against requests that are lost or sent twice, and against slots that stay in use. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void shouldDecideOnceAndFreeAllSlotsWhenInstancesFailInSeries(long seed) {
    BrokerFleet fleet = new BrokerFleet(BrokerFleet.Mode.BROKERS, INSTANCES, seed);
    fleet.addEndpoints(66, 7, 0.55, 1, 2.8);
    fleet.load(STEP.multipliedBy(STEPS), REQUESTS_PER_SECOND, 600, 1);
    SplittableRandom random = new SplittableRandom(seed);
    for (int step = 0; step < STEPS; step++) {
      fleet.timer.advance(STEP);
      injectFault(fleet, random);
    }
    fleet.cut.clear();
    List.copyOf(fleet.frozen).forEach(fleet::wake);
    fleet.timer.advance(Duration.ofSeconds(20));
    assertThat(fleet.requests)
        .filteredOn(request -> !killed.contains(request.process.member.instance()))
        .hasSizeGreaterThan(1000)
        .allMatch(request -> request.sent + (request.isRefused ? 1 : 0) == 1);
    assertThat(fleet.requests).allMatch(request -> request.sent <= 1);
    assertThat(fleet.inFlight()).isZero();
    assertThat(fleet.countedInFlight()).isZero();
  }

  private void injectFault(BrokerFleet fleet, SplittableRandom random) {
    boolean isBroker = random.nextInt(3) > 0;
    InstanceId target =
        isBroker
            ? fleet.brokerOf(random.nextInt(BrokerFleet.DOMAINS))
            : InstanceId.of("i" + random.nextInt(INSTANCES));
    boolean isRunning = fleet.processes.containsKey(target) && !fleet.frozen.contains(target);
    switch (random.nextInt(12)) {
      case 0 -> {
        if (isRunning && killed.size() < 3) {
          killed.add(target);
          fleet.kill(target);
        }
      }
      case 1, 2, 3 -> {
        if (isRunning) {
          fleet.freeze(target);
        }
      }
      case 4, 5 -> fleet.cut.add(target);
      case 6, 7 -> fleet.cut.clear();
      case 8, 9, 10 -> List.copyOf(fleet.frozen).forEach(fleet::wake);
      default -> {
        // A step without a change.
      }
    }
  }
}
