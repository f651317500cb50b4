package org.snipewick.idempotency;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.snipewick.event.EventLog;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;
import org.snipewick.failure.Outcome;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.RequestId;
import org.snipewick.identity.TeamName;
import org.snipewick.membership.Member;
import org.snipewick.membership.MembershipView;
import org.snipewick.membership.SettableMembership;
import org.snipewick.store.InMemoryTable;
import org.snipewick.store.InMemoryTable.Fault;
import org.snipewick.time.VirtualTimerService;

class TableRequestLedgerTest {
  private static final StoredAnswer ANSWER = new StoredAnswer(200, "text/plain", "booked");

  private final VirtualTimerService timer = VirtualTimerService.of(1_800_000_000_000L);
  private final InMemoryTable table = new InMemoryTable();
  private final SettableMembership membership =
      new SettableMembership(SettableMembership.viewOf("a.1", "a.1", "a.2"));
  private final SettableMembership otherMembership =
      new SettableMembership(SettableMembership.viewOf("a.2", "a.1", "a.2"));
  private final TableRequestLedger ledger = ledger(membership, 1);
  private final TableRequestLedger otherLedger = ledger(otherMembership, 2);
  private final KeyedRequest first = request("a.1", 1, "key");
  private final KeyedRequest duplicate = request("a.2", 1, "key");
  private final KeyedRequest duplicateAtSameInstance = request("a.1", 2, "key");

  /**
   * Cases of a duplicate request: time at which it arrives, its expected result, and the actions
   * before it.
   */
  static Stream<Arguments> duplicates() {
    return Stream.of(
        arguments("while the first request runs", "InProgress", action(test -> {})),
        arguments("after the answer", "Ran", action(TableRequestLedgerTest::complete)),
        arguments("after a release", "Fresh", action(TableRequestLedgerTest::release)),
        arguments(
            "after an unknown outcome",
            "Unknown",
            action(test -> test.await(test.ledger.markUnknown(test.first)))),
        arguments(
            "after a large answer",
            "RanWithoutAnswer",
            action(
                test ->
                    test.await(
                        test.ledger.complete(
                            test.first, new StoredAnswer(200, "text/plain", "x".repeat(70_000)))))),
        arguments(
            "after the first instance was declared dead",
            "Unknown",
            action(test -> test.changeFirstInstance(Member.State.DEAD, 1))),
        arguments(
            "after a restart of the first instance",
            "Unknown",
            action(test -> test.changeFirstInstance(Member.State.ALIVE, 2))),
        arguments(
            "after a planned stop began",
            "InProgress",
            action(test -> test.changeFirstInstance(Member.State.LEAVING, 1))),
        arguments(
            "after the table's answer to the write of the answer was lost",
            "Ran",
            action(test -> test.during(Fault.LOST_ANSWER, TableRequestLedgerTest::complete))),
        arguments(
            "after the write of the answer was lost",
            "Ran",
            action(test -> test.during(Fault.LOST_WRITE, TableRequestLedgerTest::complete))),
        arguments(
            "after an outage during the write of the answer",
            "Ran",
            action(test -> test.during(Fault.OUTAGE, TableRequestLedgerTest::complete))),
        arguments(
            "after the table's answer to the release was lost",
            "Fresh",
            action(test -> test.during(Fault.LOST_ANSWER, TableRequestLedgerTest::release))),
        arguments(
            "after the write of the release was lost",
            "Fresh",
            action(test -> test.during(Fault.LOST_WRITE, TableRequestLedgerTest::release))),
        arguments(
            "after an outage during the release",
            "Fresh",
            action(test -> test.during(Fault.OUTAGE, TableRequestLedgerTest::release))));
  }

  @ParameterizedTest(name = "duplicate {0}")
  @MethodSource("duplicates")
  void shouldReturnStateOfFirstRequestWhenDuplicateArrives(
      String name, String expected, Consumer<TableRequestLedgerTest> before) {
    assertThat(result(ledger.claim(first))).isEqualTo("Fresh");
    before.accept(this);
    timer.advance(Duration.ofMinutes(1));
    assertThat(result(otherLedger.claim(duplicate))).isEqualTo(expected);
  }

  /**
   * Cases of the first claim: fault of the table, time until it ends (zero if not during the
   * claim), and expected results of the claim and of a later duplicate.
   */
  static Stream<Arguments> claims() {
    return Stream.of(
        arguments(Fault.LOST_ANSWER, Duration.ZERO, "PLATFORM_UNAVAILABLE", "Fresh"),
        arguments(Fault.LOST_ANSWER, Duration.ofMillis(120), "Fresh", "InProgress"),
        arguments(Fault.LOST_WRITE, Duration.ZERO, "PLATFORM_UNAVAILABLE", "Fresh"),
        arguments(Fault.LOST_WRITE, Duration.ofMillis(120), "Fresh", "InProgress"),
        arguments(Fault.OUTAGE, Duration.ZERO, "PLATFORM_UNAVAILABLE", "Fresh"));
  }

  @ParameterizedTest(name = "{0}, healed after {1}")
  @MethodSource("claims")
  void shouldResolveOrRefuseWhenInsertionIsAmbiguous(
      Fault fault, Duration healedAfter, String expected, String expectedLater) {
    table.setFault(fault);
    CompletableFuture<KeyState> claim = ledger.claim(first);
    if (!healedAfter.isZero()) {
      timer.advance(healedAfter);
      table.setFault(Fault.NONE);
    }
    timer.advance(Duration.ofSeconds(3));
    assertThat(result(claim)).isEqualTo(expected);
    table.setFault(Fault.NONE);
    timer.advance(Duration.ofMinutes(6));
    assertThat(result(otherLedger.claim(duplicate))).isEqualTo(expectedLater);
  }

  @Test
  void shouldNeverGrantAgainWhenAmbiguousInsertionTakesEffectAndItsInstanceDies() {
    table.setFault(Fault.LOST_ANSWER);
    CompletableFuture<KeyState> refused = ledger.claim(first);
    timer.advance(Duration.ofSeconds(2));
    assertThat(result(refused)).isEqualTo("PLATFORM_UNAVAILABLE");
    table.setFault(Fault.NONE);
    changeFirstInstance(Member.State.DEAD, 1);
    assertThat(result(otherLedger.claim(duplicate))).isEqualTo("Unknown");
  }

  @Test
  void shouldGrantAgainImmediatelyWhenOwnAmbiguousInsertionIsFound() {
    table.setFault(Fault.LOST_ANSWER);
    CompletableFuture<KeyState> refused = ledger.claim(first);
    timer.advance(Duration.ofSeconds(2));
    assertThat(result(refused)).isEqualTo("PLATFORM_UNAVAILABLE");
    table.setFault(Fault.NONE);
    assertThat(result(ledger.claim(duplicateAtSameInstance))).isEqualTo("Fresh");
    assertThat(result(otherLedger.claim(duplicate))).isEqualTo("InProgress");
  }

  @Test
  void shouldRefuseImmediatelyWithRetryAfterWhenPlatformIsDown() {
    table.setFault(Fault.OUTAGE);
    for (int i = 0; i < 3; i++) {
      Failure failure = failureOf(ledger.claim(request("a.1", 10 + i, "key" + i)));
      assertThat(failure.type()).isEqualTo(FailureType.PLATFORM_UNAVAILABLE);
      assertThat(failure.outcome()).isEqualTo(Outcome.UNKNOWN);
      assertThat(failure.retryAfter()).isPresent();
    }
    table.setFault(Fault.NONE);
    timer.advance(Duration.ofSeconds(1));
    assertThat(result(ledger.claim(first))).isEqualTo("Fresh");
  }

  @Test
  void shouldAnswerDuplicateFromMemoryWhenOutcomeIsNotStoredYet() {
    assertThat(result(ledger.claim(first))).isEqualTo("Fresh");
    table.setFault(Fault.LOST_WRITE);
    complete(this);
    table.setFault(Fault.NONE);
    assertThat(result(ledger.claim(duplicateAtSameInstance))).isEqualTo("Ran");
  }

  @Test
  void shouldRefuseWhenKeyIsReusedForAnotherRequest() {
    assertThat(result(ledger.claim(first))).isEqualTo("Fresh");
    KeyedRequest reused =
        new KeyedRequest(duplicate.id(), duplicate.team(), duplicate.key(), "other", true);
    assertThat(result(otherLedger.claim(reused))).isEqualTo("KEY_REUSED");
  }

  @Test
  void shouldGrantOnceWhenTwoInstancesRace() {
    CompletableFuture<KeyState> one = ledger.claim(first);
    CompletableFuture<KeyState> two = otherLedger.claim(duplicate);
    assertThat(result(one) + result(two)).isEqualTo("FreshInProgress");
  }

  @Test
  void shouldNotClaimKeyWhenLookedUp() {
    assertThat(result(otherLedger.lookup(duplicate))).isEqualTo("Fresh");
    assertThat(result(ledger.claim(first))).isEqualTo("Fresh");
    assertThat(result(otherLedger.lookup(duplicate))).isEqualTo("InProgress");
    complete(this);
    assertThat(result(otherLedger.lookup(duplicate))).isEqualTo("Ran");
  }

  @Test
  void shouldDeleteRowWhenItIsOlderThanItsRetention() {
    assertThat(result(ledger.claim(first))).isEqualTo("Fresh");
    complete(this);
    String row = TableRequestLedger.rowKey(first.scopedKey());
    IntentSweep sweep = IntentSweep.start(table, membership, timer, LedgerSettings.defaults());
    String shard = row.substring("intent/".length(), "intent/".length() + 4);
    sweep.sweep(shard);
    assertThat(table.peek(row)).isPresent();
    timer.advance(Duration.ofHours(25));
    sweep.sweep(shard);
    assertThat(table.peek(row)).isEmpty();
  }

  private static void complete(TableRequestLedgerTest test) {
    test.await(test.ledger.complete(test.first, ANSWER));
  }

  private static void release(TableRequestLedgerTest test) {
    test.await(test.ledger.releaseNotRun(test.first));
  }

  private void during(Fault fault, Consumer<TableRequestLedgerTest> action) {
    table.setFault(fault);
    action.accept(this);
    timer.advance(Duration.ofSeconds(30));
    table.setFault(Fault.NONE);
  }

  /** Changes state and incarnation of the first instance in the view of the other one. */
  private void changeFirstInstance(Member.State state, long incarnation) {
    MembershipView view = otherMembership.view();
    Member lost = view.members().get(InstanceId.of("a.1"));
    Member changed =
        new Member(lost.id(), lost.domain(), lost.host(), lost.port(), incarnation, state);
    otherMembership.setView(
        MembershipView.ofAll(view.self(), List.of(changed, view.members().get(view.self()))));
  }

  private void await(CompletableFuture<Void> action) {
    timer.advance(Duration.ofSeconds(2));
    assertThat(action).isDone();
  }

  private TableRequestLedger ledger(SettableMembership members, int seed) {
    return TableRequestLedger.of(
        table, members, timer, new Random(seed), EventLog.none(), LedgerSettings.defaults());
  }

  private static KeyedRequest request(String instance, long sequence, String key) {
    RequestId id = RequestId.of(InstanceId.of(instance), 1, sequence);
    return new KeyedRequest(id, TeamName.of("team"), key, "f", true);
  }

  private static Failure failureOf(CompletableFuture<KeyState> future) {
    return future.handle((state, failure) -> FailureException.unwrap(failure)).join();
  }

  private static String result(CompletableFuture<KeyState> future) {
    assertThat(future).isDone();
    return future
        .handle(
            (state, failure) ->
                failure == null
                    ? state.getClass().getSimpleName()
                    : FailureException.unwrap(failure).type().name())
        .join();
  }

  private static Consumer<TableRequestLedgerTest> action(Consumer<TableRequestLedgerTest> action) {
    return action;
  }
}
