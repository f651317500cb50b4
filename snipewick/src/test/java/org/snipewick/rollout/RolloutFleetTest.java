package org.snipewick.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.rollout.RolloutFleet.Fault;
import org.snipewick.rollout.RolloutFleet.Workload;

/** Plays orders of good and bad versions at many instances in virtual time. */
class RolloutFleetTest {
  private static final Duration DURATION = Duration.ofSeconds(12);
  private static final Duration DEADLINE_AND_MORE = Duration.ofSeconds(18);
  private static final Workload SERVICE = new Workload(100, Duration.ofMillis(43), 0.003);

  private static RolloutFleet fleet(long seed, int instances, Workload workload, int endpoints) {
    RolloutFleet fleet = new RolloutFleet(seed, instances, workload);
    fleet.addEndpoints("v1", endpoints, 6);
    fleet.advance(Duration.ofSeconds(6));
    fleet.addEndpoints("v2", endpoints, 6);
    return fleet;
  }

  private static RolloutFleet fleet(long seed) {
    return fleet(seed, 59, SERVICE, 3);
  }

  private static void assertComplete(RolloutFleet fleet) {
    assertThat(fleet.status()).isEqualTo("complete");
    assertThat(fleet.timeToRunning()).isLessThan(Duration.ofMillis(500));
    assertThat(fleet.timeToEnd()).isLessThan(DURATION);
    assertThat(fleet.onOldAtComplete()).isZero();
  }

  private static void assertRolledBack(RolloutFleet fleet) {
    assertThat(fleet.status()).isEqualTo("rolled_back");
    assertThat(fleet.timeToEnd()).isLessThan(DURATION);
    assertThat((double) fleet.exposed("v2")).isLessThanOrEqualTo(fleet.allowedExposure());
    assertThat(fleet.sentAfterFiftiethBad()).isLessThan(Duration.ofSeconds(5));
  }

  /** Guards against false verdicts because of noise, a cold start, one endpoint or an overload. */
  @ParameterizedTest
  @CsvSource({
    "1, none",
    "2, cold",
    "3, slow endpoint",
    "4, overload",
    "5, failures of any version"
  })
  void shouldCompleteWhenVersionIsGood(long seed, String noise) {
    boolean hasFailures = noise.startsWith("failures");
    RolloutFleet fleet =
        fleet(seed, 59, new Workload(100, Duration.ofMillis(43), hasFailures ? 0.04 : 0.003), 3);
    switch (noise) {
      case "cold" -> fleet.setColdStart(Duration.ofSeconds(2));
      case "slow endpoint" -> fleet.setSlowEndpoint("v2-1");
      case "overload" -> fleet.setOverload(Duration.ofSeconds(4), Duration.ofSeconds(4));
      default -> {
        // Slow spells of endpoints are part of every run.
      }
    }
    fleet.order("v2", DURATION);
    fleet.advance(DEADLINE_AND_MORE);
    assertComplete(fleet);
  }

  /** Guards against bad versions that are moved to, and against more exposure than is allowed. */
  @ParameterizedTest
  @CsvSource({
    "1, 1, 0, 0, 0, ''",
    "2, 0.3, 0, 0, 0, ''",
    "3, 0.5, 4, 0, 0, ''",
    "4, 0.4, 0, 6000, 0, ''",
    "5, 0.5, 0, 10200, 0, ''",
    "6, 0.5, 0, 0, 0, read",
    "7, 0.6, 0, 0, 2, ''"
  })
  void shouldRollBackWhenVersionIsBad(
      long seed, double part, double slow, long afterMillis, int minInFlight, String route) {
    RolloutFleet fleet = fleet(seed);
    fleet.setFault("v2", new Fault(part, slow, Duration.ofMillis(afterMillis), minInFlight, route));
    fleet.order("v2", DURATION);
    fleet.advance(DEADLINE_AND_MORE);
    assertRolledBack(fleet);
  }

  @Test
  void shouldCompleteWhenVersionIsGoodAt340Instances() {
    RolloutFleet fleet = fleet(1, 340, new Workload(600, Duration.ofMillis(43), 0.003), 12);
    fleet.order("v2", DURATION);
    fleet.advance(DEADLINE_AND_MORE);
    assertComplete(fleet);
  }

  @Test
  void shouldRollBackWhenVersionIsBadAt340Instances() {
    RolloutFleet fleet = fleet(2, 340, new Workload(600, Duration.ofMillis(43), 0.003), 12);
    fleet.setFault("v2", Fault.slow(0.5, 4));
    fleet.order("v2", DURATION);
    fleet.advance(DEADLINE_AND_MORE);
    assertRolledBack(fleet);
  }

  /** Guards against the whole traffic of a version that fails although nobody can decide. */
  @Test
  void shouldKeepExposureWhenStoreIsDownForWholeOrder() {
    RolloutFleet fleet = fleet(3);
    fleet.setFault("v2", Fault.failing(0.5));
    fleet.order("v2", DURATION);
    fleet.after(Duration.ofMillis(500), () -> fleet.store().setDown(true));
    fleet.after(Duration.ofSeconds(13), () -> fleet.store().setDown(false));
    fleet.advance(DEADLINE_AND_MORE);
    assertThat(fleet.status()).isEqualTo("rolled_back");
    assertThat((double) fleet.exposed("v2")).isLessThanOrEqualTo(fleet.allowedExposure());
    assertThat(fleet.lastSentToNew()).isLessThan(Duration.ofMillis(4100));
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void shouldDecideRightWhenStoreIsDownForSeconds(boolean isGood) {
    RolloutFleet fleet = fleet(4);
    if (!isGood) {
      fleet.setFault("v2", Fault.failing(0.5));
    }
    fleet.order("v2", DURATION);
    fleet.after(Duration.ofSeconds(2), () -> fleet.store().setDown(true));
    fleet.after(Duration.ofSeconds(5), () -> fleet.store().setDown(false));
    fleet.advance(DEADLINE_AND_MORE);
    if (isGood) {
      assertComplete(fleet);
    } else {
      assertRolledBack(fleet);
    }
  }

  @Test
  void shouldKeepBoundsWhenStoreIsSlow() {
    RolloutFleet fleet = fleet(5);
    fleet.store().setLatency(Duration.ofMillis(150));
    fleet.setFault("v2", Fault.failing(0.5));
    fleet.order("v2", DURATION);
    fleet.advance(DEADLINE_AND_MORE);
    assertRolledBack(fleet);
  }

  /** Guards against verdicts and statuses that are lost with the process that was to write them. */
  @ParameterizedTest
  @CsvSource({"TRIAL, false", "ROLLED_BACK, false", "TRIAL, true", "MOVING, true"})
  void shouldEndOrderWhenAllDecidingInstancesDie(RolloutPhase phase, boolean isGood) {
    RolloutFleet fleet = fleet(6);
    if (!isGood) {
      fleet.setFault("v2", Fault.failing(0.6));
    }
    fleet.order("v2", DURATION);
    fleet.whenInPhase(phase, () -> fleet.deciders().forEach(fleet::kill));
    fleet.advance(DEADLINE_AND_MORE);
    if (isGood) {
      assertThat(fleet.status()).isEqualTo("complete");
      assertThat(fleet.onOldAtComplete()).isZero();
    } else {
      assertThat(fleet.status()).isEqualTo("rolled_back");
      assertThat((double) fleet.exposed("v2")).isLessThanOrEqualTo(fleet.allowedExposure());
    }
  }

  /** Guards against an instance that does not know of a rollback and goes on. */
  @Test
  void shouldStopSendingWhenInstanceIsCutOffFromStore() {
    RolloutFleet fleet = fleet(7);
    fleet.setFault("v2", Fault.failing(1));
    fleet.order("v2", DURATION);
    fleet.after(Duration.ofMillis(300), () -> fleet.store().setCutOff(5, true));
    fleet.advance(DEADLINE_AND_MORE);
    assertRolledBack(fleet);
    assertThat(fleet.lastSentToNew()).isLessThan(Duration.ofSeconds(4));
  }

  @Test
  void shouldSendNothingToNewVersionWhenInstanceWasFrozenDuringRollback() {
    RolloutFleet fleet = fleet(8);
    fleet.setFault("v2", Fault.failing(1));
    fleet.order("v2", DURATION);
    fleet.after(Duration.ofMillis(300), () -> fleet.freeze(5));
    fleet.after(Duration.ofSeconds(9), () -> fleet.thaw(5));
    fleet.advance(DEADLINE_AND_MORE);
    assertRolledBack(fleet);
    assertThat(fleet.lastSentToNew()).isLessThan(Duration.ofSeconds(4));
  }

  @Test
  void shouldKeepExposureWhenInstancesRestart() {
    RolloutFleet fleet = fleet(9);
    fleet.setFault("v2", Fault.failing(0.3).startingAfter(Duration.ofSeconds(5)));
    fleet.order("v2", DURATION);
    for (int index = 0; index < 59; index++) {
      int restarted = index;
      fleet.after(Duration.ofMillis(1000 + 100L * index), () -> fleet.restart(restarted));
    }
    fleet.advance(DEADLINE_AND_MORE);
    assertRolledBack(fleet);
  }

  /** Guards against a version that was given up and comes back with an older copy of the store. */
  @Test
  void shouldNotGoBackWhenStoreLosesOrResetsRecord() {
    RolloutFleet fleet = fleet(16);
    fleet.setFault("v2", Fault.failing(1));
    fleet.order("v2", DURATION);
    fleet.after(Duration.ofMillis(500), fleet::copyRecord);
    fleet.after(Duration.ofSeconds(5), fleet::restoreRecord);
    fleet.advance(DEADLINE_AND_MORE);
    assertRolledBack(fleet);
    assertThat(fleet.lastSentToNew()).isLessThan(Duration.ofSeconds(5));
    assertThat(fleet.store().value(RolloutRecord.TABLE, RolloutFleet.POOL.value()))
        .hasValueSatisfying(row -> assertThat(row).contains("ROLLED_BACK"));
  }

  /**
   * Guards against a record or status that a restore takes back to the trial, or loses, for good.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void shouldWriteVerdictAgainWhenStoreIsRestored(boolean isRowLost) {
    RolloutFleet fleet = fleet(17);
    fleet.setFault("v2", Fault.failing(1));
    fleet.store().copy();
    fleet.order("v2", DURATION);
    if (!isRowLost) {
      fleet.after(Duration.ofMillis(800), fleet.store()::copy);
    }
    fleet.after(Duration.ofSeconds(14), fleet.store()::restore);
    fleet.advance(Duration.ofSeconds(13));
    assertRolledBack(fleet);
    fleet.advance(Duration.ofSeconds(5));
    assertRolledBack(fleet);
    assertThat(fleet.lastSentToNew()).isLessThan(DURATION);
    assertThat(fleet.store().value(RolloutRecord.TABLE, RolloutFleet.POOL.value()))
        .hasValueSatisfying(row -> assertThat(row).contains("ROLLED_BACK"));
  }

  /** Guards against an order that counts as withdrawn because the store lost its rows. */
  @Test
  void shouldContinueOrderWhenStoreLosesAllItsRows() {
    RolloutFleet fleet = fleet(18);
    fleet.store().copy();
    fleet.order("v2", DURATION);
    fleet.after(Duration.ofSeconds(5), fleet.store()::restore);
    fleet.advance(DEADLINE_AND_MORE);
    assertComplete(fleet);
    assertThat(fleet.store().value(RolloutRecord.TABLE, RolloutFleet.POOL.value()))
        .hasValueSatisfying(row -> assertThat(row).contains("COMPLETE"));
  }

  @Test
  void shouldContinueOrderWhenItsRowIsWrittenAgain() {
    RolloutFleet fleet = fleet(10);
    fleet.order("v2", DURATION);
    fleet.after(Duration.ofSeconds(5), () -> fleet.putOrder("v2", DURATION));
    fleet.advance(DEADLINE_AND_MORE);
    assertComplete(fleet);
  }

  @Test
  void shouldSendNothingToSupersededVersionWhenAnotherIsOrdered() {
    RolloutFleet fleet = fleet(11);
    fleet.order("v2", DURATION);
    fleet.advance(Duration.ofSeconds(5));
    fleet.addEndpoints("v3", 3, 6);
    fleet.order("v3", DURATION);
    fleet.advance(Duration.ofMillis(500));
    long exposed = fleet.exposed("v2");
    fleet.advance(DEADLINE_AND_MORE);
    assertThat(fleet.status()).isEqualTo("complete");
    assertThat(fleet.exposed("v2")).isEqualTo(exposed);
  }

  @Test
  void shouldRollBackWhenOrderIsWithdrawn() {
    RolloutFleet fleet = fleet(12);
    fleet.order("v2", DURATION);
    fleet.after(Duration.ofSeconds(3), fleet::withdrawOrder);
    fleet.advance(DEADLINE_AND_MORE);
    assertRolledBack(fleet);
    assertThat(fleet.lastSentToNew()).isLessThan(Duration.ofMillis(3500));
  }

  @Test
  void shouldRollBackWhenVersionHasNoEndpoints() {
    RolloutFleet fleet = fleet(13);
    fleet.order("v9", DURATION);
    fleet.advance(DEADLINE_AND_MORE);
    assertThat(fleet.status()).isEqualTo("rolled_back");
    assertThat(fleet.timeToEnd()).isLessThan(DURATION);
  }

  @Test
  void shouldRollBackWhenEndpointsOfVersionGoAway() {
    RolloutFleet fleet = fleet(14);
    fleet.order("v2", DURATION);
    fleet.after(Duration.ofSeconds(5), () -> fleet.removeEndpoints("v2"));
    fleet.advance(DEADLINE_AND_MORE);
    assertRolledBack(fleet);
  }

  /** Guards against an order that waits for a trial although there is nothing to move. */
  @Test
  void shouldCompleteAtOnceWhenVersionIsTheOnlyOne() {
    RolloutFleet fleet = new RolloutFleet(15, 8, SERVICE);
    fleet.addEndpoints("v2", 3, 6);
    fleet.advance(Duration.ofSeconds(3));
    fleet.order("v2", DURATION);
    fleet.advance(Duration.ofSeconds(4));
    assertThat(fleet.status()).isEqualTo("complete");
    assertThat(fleet.held()).isZero();
  }
}
