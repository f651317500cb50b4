package org.snipewick.feed;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.snipewick.identity.InstanceId;

/** Shares the reads of the store among the instances of a fleet on virtual time. */
class FeedFleetTest {
  /** Age from which keys are refused: revocation within 5 s, less a margin of 0.3 s. */
  private static final long MAX_PROOF_AGE_MILLIS = 4_700;

  private static final long STEP_MILLIS = 20;
  private static final String SERVED = "feed_queries_served";

  private FeedFleet fleet;

  /** Faults of a reader. */
  private enum Fault {
    DEAD,
    FROZEN,
    CUT_FROM_PEERS,
    CUT_FROM_STORE,
    SLOW,
    PROOF_TOO_YOUNG,
    PROOF_TOO_OLD
  }

  /** Guards against proofs that look younger than they are, and rows that are received twice. */
  @AfterEach
  void shouldHaveNoViolations() {
    assertThat(fleet.violations).isEmpty();
  }

  /** Guards against calls to the store that grow with the number of followers. */
  @ParameterizedTest
  @CsvSource({"8, 0, 11.5", "59, 6, 11.6", "105, 9, 17.4", "340, 24, 46.4"})
  void shouldCallStoreFromReadersOnlyWhenFleetIsLarge(int instances, int readers, double calls) {
    fleet = new FeedFleet(instances, 3);
    fleet.timer.advance(Duration.ofSeconds(25));
    fleet.storeCalls = 0;
    fleet.peerBytes = 0;
    fleet.timer.advance(Duration.ofSeconds(30));
    assertThat(fleet.readers()).hasSize(readers);
    assertThat(fleet.storeCalls / 30.0).isCloseTo(calls, within(calls * 0.05));
    assertThat(fleet.peerBytes / 30.0 / instances).isLessThan(500);
  }

  /** Guards against proofs and changes that reach followers late, or at some of them only. */
  @ParameterizedTest
  @CsvSource({"59", "340"})
  void shouldServeFollowersLikeReadersWhenNothingFails(int instances) {
    fleet = new FeedFleet(instances, 3);
    fleet.timer.advance(Duration.ofSeconds(15));
    long oldest = 0;
    for (int change = 0; change < 20; change++) {
      fleet.store.write(FeedFleet.CONFIGURATION, "config");
      fleet.timer.advance(Duration.ofMillis(20));
      assertThat(fleet.processes.values()).allMatch(each -> each.configuration().isCurrent());
      oldest = Math.max(oldest, advance(500 + 90 * change));
    }
    assertThat(oldest).isLessThan(2_100);
    assertThat(fleet.followers()).allMatch(each -> each.count("feed_store_fallbacks") == 0);
  }

  /** Guards against a follower that depends on one reader for its changes or its proofs. */
  @ParameterizedTest
  @EnumSource(Fault.class)
  void shouldKeepProofsAndChangesWhenReaderFails(Fault fault) {
    fleet = new FeedFleet(59, 3);
    fleet.timer.advance(Duration.ofSeconds(15));
    InstanceId reader = fleet.readers().get(0).instance;
    inject(reader, fault);
    fleet.store.write(FeedFleet.CONFIGURATION, "config");
    long oldest = advance(2_000);
    assertThat(fleet.followers()).allMatch(each -> each.configuration().isCurrent());
    fleet.timer.advance(Duration.ofMillis(700));
    for (int change = 0; change < 8; change++) {
      fleet.store.write("servers", "endpoint" + change);
      fleet.store.write(FeedFleet.CONFIGURATION, "config");
      oldest = Math.max(oldest, advance(2_000));
      assertThat(fleet.followers()).allMatch(each -> each.configuration().isCurrent());
      assertThat(fleet.followers()).allMatch(each -> each.mirrors.get("servers").isCurrent());
    }
    assertThat(oldest).isLessThan(3_000);
    assertThat(fleet.followers().stream().mapToLong(FeedFleetTest::fallbacks).sum()).isPositive();
  }

  /** Guards against a reader that is avoided for good, and against readers that were replaced. */
  @Test
  void shouldUseReaderAgainWhenItReturns() {
    fleet = new FeedFleet(59, 3);
    fleet.timer.advance(Duration.ofSeconds(15));
    FeedFleet.Process reader = fleet.readers().get(0);
    fleet.frozen.add(reader.instance);
    advance(10_000);
    reader.wake();
    fleet.start(fleet.readers().get(1).instance);
    advance(25_000);
    long served = reader.count(SERVED);
    final long fallbacks = fleet.followers().stream().mapToLong(FeedFleetTest::fallbacks).sum();
    advance(10_000);
    assertThat(reader.count(SERVED)).isGreaterThan(served + 50);
    assertThat(fleet.followers().stream().mapToLong(FeedFleetTest::fallbacks).sum())
        .isEqualTo(fallbacks);
  }

  /** Guards against a proof that looks younger because a clock of a reader stood still. */
  @Test
  void shouldNeverProveTooMuchWhenClockOfReaderStops() {
    fleet = new FeedFleet(59, 3);
    fleet.timer.advance(Duration.ofSeconds(15));
    for (int round = 0; round < 20; round++) {
      for (FeedFleet.Process reader : fleet.readers()) {
        fleet.frozen.add(reader.instance);
        fleet.timer.advance(Duration.ofMillis(70 * round));
        fleet.store.write(FeedFleet.CONFIGURATION, "config");
        fleet.timer.advance(Duration.ofMillis(150));
        fleet.store.write(FeedFleet.CONFIGURATION, "config");
        fleet.timer.advance(Duration.ofMillis(150));
        reader.suspended = reader.suspended.plusMillis(300 + 70 * round);
        reader.wake();
      }
      advance(500);
    }
  }

  /** Guards against a fleet that calls a failed store without bound, or does not return to it. */
  @Test
  void shouldReadAgainWhenStoreReturns() {
    fleet = new FeedFleet(105, 3);
    fleet.timer.advance(Duration.ofSeconds(15));
    fleet.isStoreDown = true;
    fleet.timer.advance(Duration.ofSeconds(12));
    assertThat(fleet.processes.values()).noneMatch(each -> each.configuration().isAvailable);
    fleet.storeCalls = 0;
    fleet.timer.advance(Duration.ofSeconds(10));
    assertThat(fleet.storeCalls / 10.0).isLessThan(4 * 2 * 105);
    fleet.store.write(FeedFleet.CONFIGURATION, "config");
    fleet.isStoreDown = false;
    fleet.timer.advance(Duration.ofSeconds(5));
    assertThat(fleet.processes.values()).allMatch(each -> each.configuration().isCurrent());
    assertThat(fleet.processes.values()).allMatch(each -> each.configuration().isAvailable);
    fleet.timer.advance(Duration.ofSeconds(25));
    fleet.storeCalls = 0;
    fleet.timer.advance(Duration.ofSeconds(30));
    assertThat(fleet.storeCalls / 30.0).isLessThan(2 * 9);
  }

  /** Guards against changes that are lost or applied twice, and followers that start late. */
  @ParameterizedTest
  @CsvSource({"1", "2", "3", "4", "5", "6"})
  void shouldApplyEachChangeOnceWhenTheyComeInSeriesAndInstancesFail(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    fleet = new FeedFleet(40, 2);
    List<InstanceId> instances = List.copyOf(fleet.processes.keySet());
    List<String> tables = List.of(FeedFleet.CONFIGURATION, "servers", "quarantine", "instances");
    for (int step = 0; step < 3_000; step++) {
      String table = tables.get(random.nextInt(tables.size()));
      if (random.nextInt(4) == 0) {
        fleet.store.remove(table, "row" + random.nextInt(6));
      } else {
        fleet.store.write(table, "row" + random.nextInt(6));
      }
      if (random.nextInt(150) == 0) {
        fleet.start(instances.get(random.nextInt(instances.size())));
      }
      if (random.nextInt(100) == 0) {
        fleet.frozen.add(instances.get(random.nextInt(instances.size())));
      }
      if (random.nextInt(40) == 0) {
        List.copyOf(fleet.frozen).forEach(each -> fleet.processes.get(each).wake());
      }
      fleet.timer.advance(Duration.ofMillis(random.nextInt(20)));
    }
    List.copyOf(fleet.frozen).forEach(each -> fleet.processes.get(each).wake());
    fleet.timer.advance(Duration.ofSeconds(15));
    assertThat(fleet.processes.values().stream().mapToLong(each -> each.count(SERVED)).sum())
        .as("replies, of which a change takes one per table and follower")
        .isLessThan(40_000);
    for (FeedFleet.Process process : fleet.processes.values()) {
      assertThat(process.mirrors.values()).allMatch(FeedFleet.Mirror::isCurrent);
    }
  }

  /** Advances in steps; returns the highest age of a running instance's proof. */
  private long advance(long millis) {
    long oldest = 0;
    for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
      fleet.timer.advance(Duration.ofMillis(STEP_MILLIS));
      for (FeedFleet.Process process : fleet.followers()) {
        oldest = Math.max(oldest, process.configuration().proofAgeMillis());
      }
    }
    assertThat(oldest).isLessThan(MAX_PROOF_AGE_MILLIS);
    return oldest;
  }

  private static long fallbacks(FeedFleet.Process process) {
    return process.count("feed_store_fallbacks");
  }

  private void inject(InstanceId reader, Fault fault) {
    switch (fault) {
      case DEAD -> fleet.dead.add(reader);
      case FROZEN -> fleet.frozen.add(reader);
      case CUT_FROM_PEERS -> fleet.cutFromPeers.add(reader);
      case CUT_FROM_STORE -> fleet.cutFromStore.add(reader);
      case SLOW -> fleet.slowness.put(reader, Duration.ofMillis(400));
      case PROOF_TOO_YOUNG -> fleet.wrongOffsets.put(reader, Duration.ofSeconds(5));
      case PROOF_TOO_OLD -> fleet.wrongOffsets.put(reader, Duration.ofSeconds(-5));
      default -> throw new IllegalArgumentException("unknown fault " + fault);
    }
  }
}
