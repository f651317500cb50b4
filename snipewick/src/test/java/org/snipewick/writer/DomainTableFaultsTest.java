package org.snipewick.writer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.snipewick.event.EventLog;
import org.snipewick.failure.FailureException;
import org.snipewick.idempotency.KeyState;
import org.snipewick.idempotency.KeyedRequest;
import org.snipewick.idempotency.LedgerSettings;
import org.snipewick.idempotency.StoredAnswer;
import org.snipewick.idempotency.TableRequestLedger;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.RequestId;
import org.snipewick.identity.TeamName;
import org.snipewick.membership.Member;
import org.snipewick.membership.MembershipView;
import org.snipewick.membership.SettableMembership;
import org.snipewick.peer.InMemoryPeers;
import org.snipewick.peer.PeerNetwork;
import org.snipewick.store.InMemoryTable;
import org.snipewick.store.Table;
import org.snipewick.time.VirtualTimerService;
import org.snipewick.writer.FaultyWriterTable.Fault;

/** Claims on one idempotency key while the writer of the failure domain fails in various ways. */
class DomainTableFaultsTest {
  private static final String[] NAMES = {"a.1", "a.2", "a.3", "b.1"};
  private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(1_200);
  private static final StoredAnswer ANSWER = new StoredAnswer(200, "text/plain", "booked");

  private final VirtualTimerService timer = VirtualTimerService.of(1_800_000_000_000L);
  private final InMemoryTable table = new InMemoryTable();
  private final InMemoryPeers peers = new InMemoryPeers(timer, Duration.ofMillis(1));
  private final List<String> events = new ArrayList<>();
  private final Map<String, Node> nodes =
      Stream.of(NAMES).collect(Collectors.toMap(Function.identity(), Node::new));
  private final Node writer = nodes.get(writerOf(nodes.get("a.1")));
  private final Node entry =
      Stream.of("a.1", "a.2").map(nodes::get).filter(node -> node != writer).findFirst().get();
  private final Node remote = nodes.get("b.1");

  /**
   * Name of a fault, result of the first claim, number of avoided writers logged, and the fault.
   */
  static Stream<Arguments> faults() {
    return Stream.of(
        fault("none", "Fresh", 0, test -> {}),
        fault("writer stops before the write", "Fresh", 1, test -> test.setWriterFault(Fault.LOST)),
        fault(
            "writer stops after the write",
            "Fresh",
            1,
            test -> test.setWriterFault(Fault.ANSWER_LOST)),
        fault(
            "writer is paused before the write",
            "Fresh",
            1,
            test -> test.setWriterFault(Fault.LATE)),
        fault("writer writes twice", "Fresh", 0, test -> test.setWriterFault(Fault.TWICE)),
        fault(
            "platform rejects the writer", "Fresh", 0, test -> test.setWriterFault(Fault.REJECTED)),
        fault("writer's network is paused", "Fresh", 1, test -> test.peers.pause(test.writerId())),
        fault("writer's process is gone", "Fresh", 1, test -> test.peers.crash(test.writerId())),
        fault(
            "inactive writer",
            "Fresh",
            0,
            test -> {
              test.setWriterFault(Fault.LOST);
              test.writer.membership.setActive(false, 0);
            }),
        fault(
            "cut off from the writer",
            "Fresh",
            1,
            test -> test.peers.cut(test.entry.id, test.writer.id)),
        fault(
            "writer has another writer in its view",
            "Fresh",
            0,
            test -> {
              test.setWriterFault(Fault.LOST);
              test.writer.considerDead(test.writer.id);
            }),
        fault(
            "two writers at once",
            "Fresh",
            0,
            test -> {
              test.setWriterFault(Fault.TWICE);
              test.entry.considerDead(test.writer.id);
            }));
  }

  private static Arguments fault(
      String name, String firstResult, int avoidedWriters, Consumer<DomainTableFaultsTest> fault) {
    return arguments(name, firstResult, avoidedWriters, fault);
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("faults")
  void shouldClaimKeyOnceWhenCallIsDispatched(
      String name, String firstResult, int avoidedWriters, Consumer<DomainTableFaultsTest> fault) {
    fault.accept(this);
    assertThat(resultOf(entry.claim(1))).isEqualTo(firstResult);
    assertThat(events).hasSize(avoidedWriters);
    assertThat(resultOf(remote.claim(2))).isEqualTo("InProgress");

    writer.writerTable.applyDelayedWrites();
    assertThat(resultOf(remote.claim(3))).isEqualTo("InProgress");
    CompletableFuture<Void> completed = entry.ledger.complete(entry.request(1), ANSWER);
    timer.advance(Duration.ofSeconds(3));
    assertThat(completed).isCompleted();
    writer.writerTable.applyDelayedWrites();
    assertThat(resultOf(remote.claim(4))).isEqualTo("Ran");
    assertThat(resultOf(entry.claim(5))).isEqualTo("Ran");
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("faults")
  void shouldClaimKeyForOneOtherCallWhenCallIsReleasedAndItsWriteIsLate(
      String name, String firstResult, int avoidedWriters, Consumer<DomainTableFaultsTest> fault) {
    fault.accept(this);
    assertThat(resultOf(entry.claim(1))).isEqualTo(firstResult);
    CompletableFuture<Void> released = entry.ledger.releaseNotRun(entry.request(1));
    timer.advance(Duration.ofSeconds(3));
    assertThat(released).isCompleted();

    writer.writerTable.applyDelayedWrites();
    assertThat(resultOf(remote.claim(2))).isIn("InProgress", "Fresh");
    timer.advance(Duration.ofMinutes(6));
    assertThat(resultOf(remote.claim(3))).isIn("Fresh", "InProgress");
    writer.writerTable.applyDelayedWrites();
    assertThat(resultOf(remote.claim(4))).isEqualTo("InProgress");
    assertThat(resultOf(entry.claim(5))).isIn("InProgress", "Fresh");
    assertThat(remote.freshClaims + entry.freshClaims).isEqualTo(2);
  }

  @Test
  void shouldDeleteLateRowWhenCallThatReplacedItsOwnReleasedRowIsReleased() {
    table.setFault(InMemoryTable.Fault.LOST_ANSWER);
    assertThat(resultOf(entry.claim(1))).isEqualTo("PLATFORM_UNAVAILABLE");
    table.setFault(InMemoryTable.Fault.NONE);
    setWriterFault(Fault.LATE);
    assertThat(resultOf(entry.claim(2))).isEqualTo("Fresh");
    var unused = entry.ledger.releaseNotRun(entry.request(2));
    timer.advance(Duration.ofSeconds(3));
    writer.writerTable.applyDelayedWrites();
    timer.advance(Duration.ofMinutes(6));
    assertThat(resultOf(remote.claim(3))).isEqualTo("Fresh");
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("faults")
  void shouldNeverClaimKeyAgainWhenEntryAndWriterDie(
      String name, String firstResult, int avoidedWriters, Consumer<DomainTableFaultsTest> fault) {
    fault.accept(this);
    assertThat(resultOf(entry.claim(1))).isEqualTo(firstResult);
    remote.considerDead(entry.id);
    remote.considerDead(writer.id);
    writer.writerTable.applyDelayedWrites();
    assertThat(resultOf(remote.claim(2))).isEqualTo("Unknown");
  }

  private void setWriterFault(Fault fault) {
    writer.writerTable.setFault(fault);
  }

  private InstanceId writerId() {
    return writer.id;
  }

  private static String writerOf(Node node) {
    return WriterPlacement.of(node.membership.view()).orElseThrow().value();
  }

  private String resultOf(CompletableFuture<KeyState> claim) {
    timer.advance(Duration.ofSeconds(3));
    assertThat(claim).isDone();
    return claim
        .handle(
            (state, failure) ->
                failure == null
                    ? state.getClass().getSimpleName()
                    : FailureException.unwrap(failure).type().name())
        .join();
  }

  private final class Node {
    private final InstanceId id;
    private final SettableMembership membership;
    private final FaultyWriterTable writerTable = new FaultyWriterTable(table);
    private final TableRequestLedger ledger;
    private int freshClaims;

    Node(String name) {
      id = InstanceId.of(name);
      membership = new SettableMembership(SettableMembership.viewOf(name, NAMES));
      PeerNetwork network = peers.join(id);
      DomainWriter.start(network, membership, writerTable, () -> true);
      EventLog log = (type, subject, details) -> events.add(type + " " + subject);
      Table direct = table;
      DomainTable shared =
          DomainTable.of(
              new DomainTable.Tables(direct, writerTable, ANSWER_TIMEOUT),
              network,
              membership,
              timer,
              log,
              () -> true);
      ledger =
          TableRequestLedger.of(
              shared,
              membership,
              timer,
              new Random(name.hashCode()),
              EventLog.none(),
              LedgerSettings.defaults());
    }

    CompletableFuture<KeyState> claim(long sequence) {
      return ledger
          .claim(request(sequence))
          .whenComplete((state, failure) -> freshClaims += state instanceof KeyState.Fresh ? 1 : 0);
    }

    KeyedRequest request(long sequence) {
      RequestId request = RequestId.of(id, 1, sequence);
      return new KeyedRequest(request, TeamName.of("team"), "key", "f", true);
    }

    void considerDead(InstanceId dead) {
      MembershipView view = membership.view();
      membership.setView(
          MembershipView.ofAll(
              view.self(),
              view.members().values().stream()
                  .map(
                      member ->
                          member.id().equals(dead) ? member.withState(Member.State.DEAD) : member)
                  .toList()));
    }
  }
}
