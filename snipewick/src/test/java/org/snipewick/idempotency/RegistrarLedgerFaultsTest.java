package org.snipewick.idempotency;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.time.Duration;
import java.util.UUID;
import java.util.function.Function;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;
import org.snipewick.failure.Outcome;
import org.snipewick.identity.InstanceId;
import org.snipewick.membership.Member;

class RegistrarLedgerFaultsTest {
  private static final String KEY = "a.key";

  /**
   * Fault that returns the last request; before it the expected result and number of dispatches.
   */
  static Stream<Arguments> faults() {
    return Stream.of(
        arguments(
            "duplicate while the first request runs",
            "InProgress",
            1,
            fault(run -> run.duplicate())),
        arguments(
            "duplicate after the answer",
            "Ran",
            1,
            fault(
                run -> {
                  run.first.complete();
                  return run.duplicate();
                })),
        arguments(
            "duplicate after a release",
            "Fresh",
            2,
            fault(
                run -> {
                  run.first.release();
                  return run.duplicate();
                })),
        arguments(
            "registrar killed after the grant",
            "InProgress",
            1,
            fault(
                run -> {
                  run.cluster.crashAndDeclareDead(run.registrar);
                  return run.duplicate();
                })),
        arguments(
            "registrar killed after the answer",
            "Ran",
            1,
            fault(
                run -> {
                  run.first.complete();
                  run.cluster.crashAndDeclareDead(run.registrar);
                  return run.duplicate();
                })),
        arguments(
            "entry instance killed",
            "Unknown",
            1,
            fault(
                run -> {
                  run.cluster.crashAndDeclareDead(run.entry);
                  return run.duplicate();
                })),
        arguments(
            "entry instance restarted under its name",
            "Unknown",
            1,
            fault(
                run -> {
                  run.cluster.crash(run.entry);
                  Member restarted = run.cluster.join(run.entry, 2).member;
                  run.cluster.spread(restarted, Member.State.ALIVE);
                  return run.duplicate();
                })),
        arguments(
            "registrar and entry instance killed",
            "Unknown",
            1,
            fault(
                run -> {
                  run.cluster.crash(run.entry);
                  run.cluster.crashAndDeclareDead(run.registrar);
                  run.cluster.declareDead(run.entry);
                  return run.duplicate();
                })),
        arguments(
            "registrar and witness killed, entry instance alive",
            "InProgress",
            1,
            fault(
                run -> {
                  run.cluster.crash(run.witness);
                  run.cluster.crashAndDeclareDead(run.registrar);
                  run.cluster.declareDead(run.witness);
                  return run.duplicate();
                })),
        arguments(
            "registrar, witness and entry instance killed",
            "Unknown",
            1,
            fault(
                run -> {
                  run.cluster.crash(run.witness);
                  run.cluster.crash(run.entry);
                  run.cluster.crashAndDeclareDead(run.registrar);
                  run.cluster.declareDead(run.witness);
                  run.cluster.declareDead(run.entry);
                  return run.duplicate();
                })),
        arguments(
            "registrar paused, then declared dead",
            "InProgress",
            1,
            fault(
                run -> {
                  run.cluster.pause(run.registrar);
                  KeyCluster.Attempt duplicate = run.beginDuplicate();
                  run.cluster.declareDead(run.registrar);
                  return run.await(duplicate);
                })),
        arguments(
            "paused registrar resumes after a takeover",
            "InProgress",
            1,
            fault(
                run -> {
                  run.cluster.pause(run.registrar);
                  run.cluster.declareDead(run.registrar);
                  run.duplicate();
                  run.cluster.resume(run.registrar);
                  run.cluster.reactivate(run.registrar);
                  return run.duplicate();
                })),
        arguments(
            "registrar crashes and restarts without records",
            "InProgress",
            1,
            fault(
                run -> {
                  run.cluster.crash(run.registrar);
                  Member restarted = run.cluster.join(run.registrar, 2).member;
                  run.cluster.spread(restarted, Member.State.ALIVE);
                  return run.duplicate();
                })),
        arguments(
            "messages of the release lost",
            "Fresh",
            2,
            fault(
                run -> {
                  run.cutEntryFromOthers(true);
                  run.first.release();
                  run.cluster.advance(Duration.ofSeconds(10));
                  run.cutEntryFromOthers(false);
                  return run.duplicate();
                })),
        arguments(
            "messages with the answer lost",
            "Ran",
            1,
            fault(
                run -> {
                  run.cutEntryFromOthers(true);
                  run.first.complete();
                  run.cluster.advance(Duration.ofSeconds(10));
                  run.cutEntryFromOthers(false);
                  return run.duplicate();
                })),
        arguments(
            "entry instance cut off and declared dead, answer meanwhile, reconnected",
            "Ran",
            1,
            fault(run -> run.cutOffAndHeal(run.first::complete))),
        arguments(
            "entry instance cut off and declared dead, release meanwhile, reconnected",
            "Unknown",
            1,
            fault(run -> run.cutOffAndHeal(run.first::release))),
        arguments(
            "registrar and witness leave as planned",
            "InProgress",
            1,
            fault(
                run -> {
                  run.leave(run.registrar);
                  run.leave(run.witness);
                  return run.duplicate();
                })),
        arguments(
            "all earlier members leave as planned",
            "Ran",
            1,
            fault(
                run -> {
                  run.first.complete();
                  run.cluster.spread(run.cluster.join("a.5", 1).member, Member.State.ALIVE);
                  run.leave(run.registrar);
                  run.leave(run.witness);
                  run.leave(run.entry);
                  return run.duplicateAt("a.5");
                })));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("faults")
  void shouldReturnStateOfFirstRequestWhenFaultOccurs(
      String name,
      String expected,
      int dispatches,
      Function<DispatchedCall, KeyCluster.Attempt> fault) {
    DispatchedCall run = new DispatchedCall();
    KeyCluster.Attempt last = fault.apply(run).dispatch();
    assertThat(last.result()).isEqualTo(expected);
    assertThat(run.cluster.dispatches.get(run.key)).isEqualTo(dispatches);
  }

  @Test
  void shouldGrantAtMostOneOfTwoWhenViewsDifferAndDuplicatesRace() {
    for (int latency = 0; latency < 12; latency++) {
      KeyCluster cluster = KeyCluster.of("a.1", "a.2", "a.3");
      KeyCluster.Node newcomer = cluster.join("a.0", 1);
      String key = cluster.keyRanked("a.0", "a.1");
      cluster.nodes.get("a.3").see(newcomer.member);
      KeyCluster.Attempt old = cluster.begin("a.2", key);
      cluster.advance(Duration.ofMillis(latency));
      KeyCluster.Attempt changed = cluster.begin("a.3", key);
      cluster.advance(Duration.ofSeconds(8));
      old.dispatch();
      changed.dispatch();
      assertThat(cluster.dispatches.getOrDefault(key, 0)).isLessThanOrEqualTo(1);
    }
  }

  @Test
  void shouldGrantOneOfTwoWhenDuplicatesRaceOnTwoInstances() {
    KeyCluster cluster = KeyCluster.of("a.1", "a.2", "a.3");
    KeyCluster.Attempt one = cluster.begin("a.1", KEY);
    KeyCluster.Attempt other = cluster.begin("a.2", KEY);
    cluster.advance(Duration.ofSeconds(1));
    one.dispatch();
    other.dispatch();
    assertThat(cluster.dispatches).containsEntry(KEY, 1);
  }

  @Test
  void shouldGrantOnceWhenRegistrarCrashesBeforeWitnessHasReplied() {
    for (int micros = 0; micros < 6_000; micros += 500) {
      KeyCluster cluster = KeyCluster.of("a.1", "a.2", "a.3", "a.4");
      String key = cluster.keyRanked("a.1", "a.2");
      final KeyCluster.Attempt first = cluster.begin("a.3", key);
      cluster.advance(Duration.ofNanos(micros * 1_000L));
      cluster.crashAndDeclareDead("a.1");
      cluster.advance(Duration.ofSeconds(5));
      first.dispatch();
      cluster.call("a.4", key).dispatch();
      assertThat(first.result()).isEqualTo("Fresh");
      assertThat(cluster.dispatches).containsEntry(key, 1);
    }
  }

  @Test
  void shouldNotGrantWithoutWitnessWhenOnlyOtherMemberIsPaused() {
    KeyCluster cluster = KeyCluster.of("a.1", "a.2");
    cluster.pause("a.2");
    String key = cluster.keyRanked("a.1", "a.2");
    KeyCluster.Attempt first = cluster.begin("a.1", key);
    cluster.advance(Duration.ofMillis(500));
    assertThat(first.result()).isEqualTo("nothing");
    cluster.declareDead("a.2");
    cluster.advance(Duration.ofSeconds(1));
    assertThat(first.result()).isEqualTo("Fresh");
  }

  /** Keys that a lost member may have claimed: two members are lost, and the key's age decides. */
  static Stream<Arguments> keysAfterTwoLostProcesses() {
    return Stream.of(
        arguments("without creation time", Duration.ZERO, false, "Unknown"),
        arguments("created before the losses", Duration.ofSeconds(-10), true, "Unknown"),
        arguments("created after the losses", Duration.ofSeconds(3), true, "Fresh"),
        arguments(
            "without creation time, after the retention time",
            Duration.ofMinutes(3),
            false,
            "Fresh"),
        arguments("older than the retention time", Duration.ofMinutes(-3), true, "Unknown"));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("keysAfterTwoLostProcesses")
  void shouldDecideOnKeyWithoutRecordByItsAgeWhenTwoMembersWereLost(
      String name, Duration createdAfterLostProcesses, boolean withCreationTime, String expected) {
    KeyCluster cluster = KeyCluster.of("a.1", "a.2", "a.3", "a.4");
    cluster.advance(Duration.ofMinutes(5));
    String key = null;
    for (int i = 0; key == null; i++) {
      long createdAtEpochMillis =
          cluster.timer.epochMillis() + 4_000 + createdAfterLostProcesses.toMillis();
      String candidate =
          "a." + (withCreationTime ? timeOrdered(createdAtEpochMillis, i).toString() : "key" + i);
      key = cluster.registrar(candidate).equals("a.1") ? candidate : null;
    }
    cluster.crash("a.2");
    cluster.crashAndDeclareDead("a.1");
    cluster.declareDead("a.2");
    cluster.advance(
        createdAfterLostProcesses.isNegative() ? Duration.ZERO : createdAfterLostProcesses);
    assertThat(cluster.call("a.3", key).result()).isEqualTo(expected);
  }

  @Test
  void shouldGrantKeyWithoutRecordWhenOneMemberWasLost() {
    KeyCluster cluster = KeyCluster.of("a.1", "a.2", "a.3");
    String key = cluster.keyRanked("a.1");
    cluster.crashAndDeclareDead("a.1");
    assertThat(cluster.call("a.2", key).result()).isEqualTo("Fresh");
  }

  @Test
  void shouldReturnUnknownWhenOnlyMemberWithRecordIsLostAfterAnotherJoined() {
    KeyCluster cluster = KeyCluster.of("a.1");
    KeyCluster.Attempt first = cluster.call("a.1", KEY).dispatch();
    assertThat(first.result()).isEqualTo("Fresh");
    cluster.spread(cluster.join("a.2", 1).member, Member.State.ALIVE);
    cluster.crashAndDeclareDead("a.1");
    assertThat(cluster.call("a.2", KEY).result()).isEqualTo("Unknown");
  }

  @Test
  void shouldRefuseWithRetryAfterWhenHomeDomainIsCutOff() {
    KeyCluster cluster = KeyCluster.of("a.1", "a.2", "b.1");
    cluster.peers.cut(InstanceId.of("a.1"), InstanceId.of("b.1"));
    Failure failure =
        cluster
            .call("a.1", "b.key")
            .future
            .handle((state, thrown) -> FailureException.unwrap(thrown))
            .join();
    assertThat(failure.type()).isEqualTo(FailureType.REGISTRAR_UNAVAILABLE);
    assertThat(failure.outcome()).isEqualTo(Outcome.UNKNOWN);
    assertThat(failure.retryAfter()).isPresent();
    assertThat(cluster.call("a.1", "a.key").result()).isEqualTo("Fresh");
  }

  @Test
  void shouldRefuseWhenKeyIsReusedForAnotherRequest() {
    KeyCluster cluster = KeyCluster.of("a.1", "a.2");
    KeyedRequest first = cluster.call("a.1", KEY).request;
    KeyedRequest other = new KeyedRequest(first.id(), first.team(), first.key(), "other", false);
    var reused = cluster.nodes.get("a.2").ledger.claim(other);
    cluster.advance(Duration.ofSeconds(1));
    assertThat(reused.handle((state, thrown) -> FailureException.unwrap(thrown).type()).join())
        .isEqualTo(FailureType.KEY_REUSED);
  }

  @Test
  void shouldNotClaimKeyWhenLookedUp() {
    KeyCluster cluster = KeyCluster.of("a.1", "a.2", "a.3");
    KeyCluster.Attempt first = cluster.call("a.1", KEY).dispatch();
    first.complete();
    var known = cluster.nodes.get("a.2").ledger.lookup(first.request);
    KeyedRequest unclaimed =
        new KeyedRequest(first.request.id(), first.request.team(), "a.other", "f", false);
    var unknown = cluster.nodes.get("a.2").ledger.lookup(unclaimed);
    cluster.advance(Duration.ofSeconds(1));
    assertThat(known.join()).isInstanceOf(KeyState.Ran.class);
    assertThat(unknown.join()).isInstanceOf(KeyState.Fresh.class);
    assertThat(cluster.call("a.3", "a.other").result()).isEqualTo("Fresh");
  }

  static UUID timeOrdered(long epochMillis, int random) {
    return new UUID(epochMillis << 16 | 0x7000, 0x8000000000000000L | random);
  }

  private static Function<DispatchedCall, KeyCluster.Attempt> fault(
      Function<DispatchedCall, KeyCluster.Attempt> fault) {
    return fault;
  }
}
