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
   * Cases of faults after the dispatch of the first request: name, expected result of the last
   * request, expected number of dispatches, and the fault, which returns the last request.
   */
  static Stream<Arguments> faults() {
    return Stream.of(
        arguments(
            "duplicate while the first request runs",
            "InProgress",
            1,
            fault(scenario -> scenario.duplicate())),
        arguments(
            "duplicate after the answer",
            "Ran",
            1,
            fault(
                scenario -> {
                  scenario.first.complete();
                  return scenario.duplicate();
                })),
        arguments(
            "duplicate after a release",
            "Fresh",
            2,
            fault(
                scenario -> {
                  scenario.first.release();
                  return scenario.duplicate();
                })),
        arguments(
            "registrar killed after the grant",
            "InProgress",
            1,
            fault(
                scenario -> {
                  scenario.cluster.crashAndDeclareDead(scenario.registrar);
                  return scenario.duplicate();
                })),
        arguments(
            "registrar killed after the answer",
            "Ran",
            1,
            fault(
                scenario -> {
                  scenario.first.complete();
                  scenario.cluster.crashAndDeclareDead(scenario.registrar);
                  return scenario.duplicate();
                })),
        arguments(
            "entry instance killed",
            "Unknown",
            1,
            fault(
                scenario -> {
                  scenario.cluster.crashAndDeclareDead(scenario.entry);
                  return scenario.duplicate();
                })),
        arguments(
            "entry instance restarted under its name",
            "Unknown",
            1,
            fault(
                scenario -> {
                  scenario.cluster.crash(scenario.entry);
                  Member restarted = scenario.cluster.join(scenario.entry, 2).member;
                  scenario.cluster.updateViews(restarted, Member.State.ALIVE);
                  return scenario.duplicate();
                })),
        arguments(
            "registrar and entry instance killed",
            "Unknown",
            1,
            fault(
                scenario -> {
                  scenario.cluster.crash(scenario.entry);
                  scenario.cluster.crashAndDeclareDead(scenario.registrar);
                  scenario.cluster.declareDead(scenario.entry);
                  return scenario.duplicate();
                })),
        arguments(
            "registrar and witness killed, entry instance alive",
            "InProgress",
            1,
            fault(
                scenario -> {
                  scenario.cluster.crash(scenario.witness);
                  scenario.cluster.crashAndDeclareDead(scenario.registrar);
                  scenario.cluster.declareDead(scenario.witness);
                  return scenario.duplicate();
                })),
        arguments(
            "registrar, witness and entry instance killed",
            "Unknown",
            1,
            fault(
                scenario -> {
                  scenario.cluster.crash(scenario.witness);
                  scenario.cluster.crash(scenario.entry);
                  scenario.cluster.crashAndDeclareDead(scenario.registrar);
                  scenario.cluster.declareDead(scenario.witness);
                  scenario.cluster.declareDead(scenario.entry);
                  return scenario.duplicate();
                })),
        arguments(
            "registrar paused, then declared dead",
            "InProgress",
            1,
            fault(
                scenario -> {
                  scenario.cluster.pause(scenario.registrar);
                  KeyCluster.ClaimAttempt duplicate = scenario.beginDuplicate();
                  scenario.cluster.declareDead(scenario.registrar);
                  return scenario.await(duplicate);
                })),
        arguments(
            "paused registrar resumes after a takeover",
            "InProgress",
            1,
            fault(
                scenario -> {
                  scenario.cluster.pause(scenario.registrar);
                  scenario.cluster.declareDead(scenario.registrar);
                  scenario.duplicate();
                  scenario.cluster.resume(scenario.registrar);
                  scenario.cluster.reactivate(scenario.registrar);
                  return scenario.duplicate();
                })),
        arguments(
            "registrar crashes and restarts without records",
            "InProgress",
            1,
            fault(
                scenario -> {
                  scenario.cluster.crash(scenario.registrar);
                  Member restarted = scenario.cluster.join(scenario.registrar, 2).member;
                  scenario.cluster.updateViews(restarted, Member.State.ALIVE);
                  return scenario.duplicate();
                })),
        arguments(
            "messages of the release lost",
            "Fresh",
            2,
            fault(
                scenario -> {
                  scenario.cutEntryFromOthers(true);
                  scenario.first.release();
                  scenario.cluster.advance(Duration.ofSeconds(10));
                  scenario.cutEntryFromOthers(false);
                  return scenario.duplicate();
                })),
        arguments(
            "messages with the answer lost",
            "Ran",
            1,
            fault(
                scenario -> {
                  scenario.cutEntryFromOthers(true);
                  scenario.first.complete();
                  scenario.cluster.advance(Duration.ofSeconds(10));
                  scenario.cutEntryFromOthers(false);
                  return scenario.duplicate();
                })),
        arguments(
            "entry instance cut off and declared dead, first request answered, reconnected",
            "Ran",
            1,
            fault(scenario -> scenario.cutOffAndHeal(scenario.first::complete))),
        arguments(
            "entry instance cut off and declared dead, first request released, reconnected",
            "Unknown",
            1,
            fault(scenario -> scenario.cutOffAndHeal(scenario.first::release))),
        arguments(
            "registrar and witness leave as planned",
            "InProgress",
            1,
            fault(
                scenario -> {
                  scenario.leave(scenario.registrar);
                  scenario.leave(scenario.witness);
                  return scenario.duplicate();
                })),
        arguments(
            "all earlier members leave as planned",
            "Ran",
            1,
            fault(
                scenario -> {
                  scenario.first.complete();
                  scenario.cluster.updateViews(
                      scenario.cluster.join("a.5", 1).member, Member.State.ALIVE);
                  scenario.leave(scenario.registrar);
                  scenario.leave(scenario.witness);
                  scenario.leave(scenario.entry);
                  return scenario.duplicateAt("a.5");
                })));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("faults")
  void shouldReturnStateOfFirstRequestWhenFaultOccurs(
      String name,
      String expected,
      int dispatches,
      Function<DispatchedRequest, KeyCluster.ClaimAttempt> fault) {
    DispatchedRequest scenario = new DispatchedRequest();
    KeyCluster.ClaimAttempt last = fault.apply(scenario).dispatch();
    assertThat(last.result()).isEqualTo(expected);
    assertThat(scenario.cluster.dispatches.get(scenario.key)).isEqualTo(dispatches);
  }

  @Test
  void shouldGrantAtMostOneOfTwoWhenViewsDifferAndDuplicatesRace() {
    for (int delayMillis = 0; delayMillis < 12; delayMillis++) {
      KeyCluster cluster = KeyCluster.of("a.1", "a.2", "a.3");
      KeyCluster.Node newcomer = cluster.join("a.0", 1);
      String key = cluster.keyRanked("a.0", "a.1");
      cluster.nodes.get("a.3").updateView(newcomer.member);
      KeyCluster.ClaimAttempt withOldView = cluster.beginClaim("a.2", key);
      cluster.advance(Duration.ofMillis(delayMillis));
      KeyCluster.ClaimAttempt withNewView = cluster.beginClaim("a.3", key);
      cluster.advance(Duration.ofSeconds(8));
      withOldView.dispatch();
      withNewView.dispatch();
      assertThat(cluster.dispatches.getOrDefault(key, 0)).isLessThanOrEqualTo(1);
    }
  }

  @Test
  void shouldGrantOneOfTwoWhenDuplicatesRaceOnTwoInstances() {
    KeyCluster cluster = KeyCluster.of("a.1", "a.2", "a.3");
    KeyCluster.ClaimAttempt one = cluster.beginClaim("a.1", KEY);
    KeyCluster.ClaimAttempt other = cluster.beginClaim("a.2", KEY);
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
      final KeyCluster.ClaimAttempt first = cluster.beginClaim("a.3", key);
      cluster.advance(Duration.ofNanos(micros * 1_000L));
      cluster.crashAndDeclareDead("a.1");
      cluster.advance(Duration.ofSeconds(5));
      first.dispatch();
      cluster.claim("a.4", key).dispatch();
      assertThat(first.result()).isEqualTo("Fresh");
      assertThat(cluster.dispatches).containsEntry(key, 1);
    }
  }

  @Test
  void shouldNotGrantWithoutWitnessWhenOnlyOtherMemberIsPaused() {
    KeyCluster cluster = KeyCluster.of("a.1", "a.2");
    cluster.pause("a.2");
    String key = cluster.keyRanked("a.1", "a.2");
    KeyCluster.ClaimAttempt first = cluster.beginClaim("a.1", key);
    cluster.advance(Duration.ofMillis(500));
    assertThat(first.result()).isEqualTo("nothing");
    cluster.declareDead("a.2");
    cluster.advance(Duration.ofSeconds(1));
    assertThat(first.result()).isEqualTo("Fresh");
  }

  /**
   * Cases of a key without a record after two members were lost: name, time from the losses to the
   * creation of the key, whether the key has a creation time, and expected result.
   */
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
    // The second of the two members is declared dead 4 s from now.
    String key = null;
    for (int i = 0; key == null; i++) {
      long createdAtEpochMillis =
          cluster.timer.epochMillis() + 4_000 + createdAfterLostProcesses.toMillis();
      String candidate =
          "a."
              + (withCreationTime
                  ? uuidWithTimestamp(createdAtEpochMillis, i).toString()
                  : "key" + i);
      key = cluster.registrar(candidate).equals("a.1") ? candidate : null;
    }
    cluster.crash("a.2");
    cluster.crashAndDeclareDead("a.1");
    cluster.declareDead("a.2");
    cluster.advance(
        createdAfterLostProcesses.isNegative() ? Duration.ZERO : createdAfterLostProcesses);
    assertThat(cluster.claim("a.3", key).result()).isEqualTo(expected);
  }

  @Test
  void shouldGrantKeyWithoutRecordWhenOneMemberWasLost() {
    KeyCluster cluster = KeyCluster.of("a.1", "a.2", "a.3");
    String key = cluster.keyRanked("a.1");
    cluster.crashAndDeclareDead("a.1");
    assertThat(cluster.claim("a.2", key).result()).isEqualTo("Fresh");
  }

  @Test
  void shouldReturnUnknownWhenOnlyMemberWithRecordIsLostAfterAnotherJoined() {
    KeyCluster cluster = KeyCluster.of("a.1");
    KeyCluster.ClaimAttempt first = cluster.claim("a.1", KEY).dispatch();
    assertThat(first.result()).isEqualTo("Fresh");
    cluster.updateViews(cluster.join("a.2", 1).member, Member.State.ALIVE);
    cluster.crashAndDeclareDead("a.1");
    assertThat(cluster.claim("a.2", KEY).result()).isEqualTo("Unknown");
  }

  @Test
  void shouldRefuseWithRetryAfterWhenHomeDomainIsCutOff() {
    KeyCluster cluster = KeyCluster.of("a.1", "a.2", "b.1");
    cluster.peers.cut(InstanceId.of("a.1"), InstanceId.of("b.1"));
    Failure failure =
        cluster
            .claim("a.1", "b.key")
            .future
            .handle((state, thrown) -> FailureException.unwrap(thrown))
            .join();
    assertThat(failure.type()).isEqualTo(FailureType.REGISTRAR_UNAVAILABLE);
    assertThat(failure.outcome()).isEqualTo(Outcome.UNKNOWN);
    assertThat(failure.retryAfter()).isPresent();
    assertThat(cluster.claim("a.1", "a.key").result()).isEqualTo("Fresh");
  }

  @Test
  void shouldRefuseWhenKeyIsReusedForAnotherRequest() {
    KeyCluster cluster = KeyCluster.of("a.1", "a.2");
    KeyedRequest first = cluster.claim("a.1", KEY).request;
    KeyedRequest other = new KeyedRequest(first.id(), first.team(), first.key(), "other", false);
    var reused = cluster.nodes.get("a.2").ledger.claim(other);
    cluster.advance(Duration.ofSeconds(1));
    assertThat(reused.handle((state, thrown) -> FailureException.unwrap(thrown).type()).join())
        .isEqualTo(FailureType.KEY_REUSED);
  }

  @Test
  void shouldNotClaimKeyWhenLookedUp() {
    KeyCluster cluster = KeyCluster.of("a.1", "a.2", "a.3");
    KeyCluster.ClaimAttempt first = cluster.claim("a.1", KEY).dispatch();
    first.complete();
    var known = cluster.nodes.get("a.2").ledger.lookup(first.request);
    KeyedRequest unclaimed =
        new KeyedRequest(first.request.id(), first.request.team(), "a.other", "f", false);
    var unknown = cluster.nodes.get("a.2").ledger.lookup(unclaimed);
    cluster.advance(Duration.ofSeconds(1));
    assertThat(known.join()).isInstanceOf(KeyState.Ran.class);
    assertThat(unknown.join()).isInstanceOf(KeyState.Fresh.class);
    assertThat(cluster.claim("a.3", "a.other").result()).isEqualTo("Fresh");
  }

  /** Returns a UUIDv7 with a creation time and the given low bits. */
  static UUID uuidWithTimestamp(long epochMillis, int lowBits) {
    return new UUID(epochMillis << 16 | 0x7000, 0x8000000000000000L | lowBits);
  }

  private static Function<DispatchedRequest, KeyCluster.ClaimAttempt> fault(
      Function<DispatchedRequest, KeyCluster.ClaimAttempt> fault) {
    return fault;
  }
}
