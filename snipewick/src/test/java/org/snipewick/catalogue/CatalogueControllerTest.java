package org.snipewick.catalogue;

import static org.assertj.core.api.Assertions.assertThat;
import static org.snipewick.catalogue.CatalogueCluster.putModel;
import static org.snipewick.catalogue.CatalogueCluster.putTeam;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;
import org.snipewick.failure.Outcome;
import org.snipewick.identity.InstanceId;
import org.snipewick.store.InMemoryTable;

@Timeout(60)
class CatalogueControllerTest {
  private static final String[] ALL = {"wien.1", "wien.2", "linz.1", "linz.2", "graz.1"};

  private final CatalogueCluster catalogues = new CatalogueCluster(11).start(ALL);

  private static Failure failureOf(CompletableFuture<?> future) {
    assertThat(future).isCompletedExceptionally();
    try {
      future.join();
      throw new AssertionError();
    } catch (CompletionException failure) {
      return FailureException.unwrap(failure);
    }
  }

  private void expectVersion(long version, String... names) {
    for (String name : names) {
      assertThat(catalogues.version(name)).as(name).isEqualTo(version);
    }
  }

  @Test
  void shouldBeInForceOnAllInstancesAndConfirmedWhenChangeIsAccepted() {
    CompletableFuture<Acceptance> acceptance = catalogues.submit("wien.1", putModel("wick"));
    catalogues.advance(Duration.ofMillis(50));
    assertThat(acceptance.getNow(null).version()).isEqualTo(1);
    assertThat(acceptance.getNow(null).inForce())
        .extracting(InstanceId::value)
        .containsExactlyInAnyOrder(ALL);
    assertThat(acceptance.getNow(null).unreachable()).isEmpty();
    expectVersion(1, ALL);
  }

  @Test
  void shouldFailSecondSubmissionWithConflictWhenTwoOperatorsEditSameVersion() {
    CompletableFuture<Acceptance> first = catalogues.submit("wien.1", putModel("one"));
    CompletableFuture<Acceptance> second = catalogues.submit("linz.1", putModel("two"));
    catalogues.advance(Duration.ofSeconds(1));
    assertThat(first).isCompleted();
    Failure conflict = failureOf(second);
    assertThat(conflict.type()).isEqualTo(FailureType.CATALOGUE_CONFLICT);
    assertThat(conflict.outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(conflict.detail()).contains("version 1 is in force");
    expectVersion(1, ALL);
    assertThat(catalogues.controllerOf("linz.1").current().find(Entry.Model.class, "two"))
        .isEmpty();
  }

  /**
   * Columns: fault of the table during the write, its duration in milliseconds, failure and outcome
   * that are reported, version afterwards and state of the change.
   */
  @ParameterizedTest(name = "{0} for {1} ms")
  @CsvSource({
    "OUTAGE, 10000, PLATFORM_UNAVAILABLE, NOT_RUN, 0, NOT_ACCEPTED",
    "LOST_ANSWER, 300, , , 1, ACCEPTED",
    "LOST_ANSWER, 10000, OUTCOME_UNKNOWN, UNKNOWN, 1, ACCEPTED",
    "LOST_WRITE, 300, , , 1, ACCEPTED",
    "LOST_WRITE, 10000, OUTCOME_UNKNOWN, UNKNOWN, 0, UNKNOWN"
  })
  void shouldReportActualOutcomeWhenWriteFails(
      InMemoryTable.Fault fault,
      long faultMillis,
      FailureType type,
      Outcome outcome,
      long version,
      ChangeState state) {
    CatalogueController controller = catalogues.controllerOf("wien.1");
    CompletableFuture<Proposal> proposal =
        controller.propose("operator", 0, List.of(putModel("wick")));
    catalogues.advance(Duration.ofMillis(1));
    catalogues.table.setFault(fault);
    final CompletableFuture<Acceptance> acceptance = controller.submit(proposal.getNow(null));
    catalogues.advance(Duration.ofMillis(faultMillis));
    catalogues.table.setFault(InMemoryTable.Fault.NONE);
    catalogues.advance(Duration.ofSeconds(6));
    if (type == null) {
      assertThat(acceptance.getNow(null).version()).isEqualTo(1);
    } else {
      Failure failure = failureOf(acceptance);
      assertThat(failure.type()).isEqualTo(type);
      assertThat(failure.outcome()).isEqualTo(outcome);
      assertThat(failure.retryAfter()).isPresent();
    }
    expectVersion(version, ALL);
    CompletableFuture<ChangeState> queriedState =
        catalogues.controllerOf("graz.1").stateOf(proposal.getNow(null).change().changeId());
    catalogues.advance(Duration.ofMillis(10));
    if (state == ChangeState.NOT_ACCEPTED) {
      assertThat(queriedState.getNow(null)).isNotEqualTo(ChangeState.ACCEPTED);
    } else {
      assertThat(queriedState.getNow(null)).isEqualTo(state);
    }
  }

  @Test
  void shouldReportNotAcceptedWhenAnotherChangeCreatedVersionOfAmbiguousWrite() {
    CatalogueController controller = catalogues.controllerOf("wien.1");
    CompletableFuture<Proposal> ambiguous =
        controller.propose("operator", 0, List.of(putModel("lost")));
    catalogues.advance(Duration.ofMillis(1));
    catalogues.table.setFault(InMemoryTable.Fault.LOST_WRITE);
    CompletableFuture<Acceptance> acceptance = controller.submit(ambiguous.getNow(null));
    catalogues.advance(Duration.ofSeconds(8));
    assertThat(failureOf(acceptance).type()).isEqualTo(FailureType.OUTCOME_UNKNOWN);
    catalogues.table.setFault(InMemoryTable.Fault.NONE);
    catalogues.acceptChanges("graz.1", 1);
    CompletableFuture<ChangeState> queriedState =
        catalogues.controllerOf("linz.1").stateOf(ambiguous.getNow(null).change().changeId());
    catalogues.advance(Duration.ofMillis(10));
    assertThat(queriedState.getNow(null)).isEqualTo(ChangeState.NOT_ACCEPTED);
  }

  @Test
  void shouldReportAllFaultsWhenEditsAreInvalid() {
    String token = "a".repeat(64);
    Failure failure =
        failureOf(
            submitAndAdvance(
                putTeam("one", token),
                putTeam("two", token),
                putTeam("three", "short"),
                putModel("m"),
                putModel("m"),
                new Edit.Remove("nothing")));
    assertThat(failure.type()).isEqualTo(FailureType.CATALOGUE_INVALID);
    assertThat(failure.detail())
        .contains("has the same token as")
        .contains("team/three: tokenSha256")
        .contains("model/m: edited twice")
        .contains("nothing: not a key");
    expectVersion(0, ALL);
  }

  private CompletableFuture<Acceptance> submitAndAdvance(Edit... edits) {
    CompletableFuture<Acceptance> acceptance = catalogues.submit("wien.1", edits);
    catalogues.advance(Duration.ofMillis(50));
    return acceptance;
  }

  @Test
  void shouldKeepOldVersionWhenDomainIsCutOffAndCatchUpWhenHealed() {
    catalogues.acceptChanges("wien.1", 1);
    catalogues.cluster.cut("wien", "linz");
    catalogues.cluster.cut("graz", "linz");
    catalogues.tableOf("linz.1").setCut(true);
    catalogues.tableOf("linz.2").setCut(true);
    catalogues.advance(Duration.ofSeconds(8));
    CompletableFuture<Acceptance> acceptance = submitAndAdvance(putModel("later"));
    catalogues.advance(Duration.ofSeconds(3));
    assertThat(acceptance.getNow(null).unreachable())
        .extracting(InstanceId::value)
        .containsExactly("linz.1", "linz.2");
    expectVersion(2, "wien.1", "wien.2", "graz.1");
    expectVersion(1, "linz.1", "linz.2");
    CatalogueStatus status = catalogues.controllerOf("linz.1").status();
    assertThat(status.platformReachable()).isFalse();
    assertThat(status.unreachable()).containsExactly("graz.1", "wien.1", "wien.2");
    assertThat(failureOf(submitInCutOffDomain()).type())
        .isEqualTo(FailureType.PLATFORM_UNAVAILABLE);
    catalogues.cluster.heal("wien", "linz");
    catalogues.cluster.heal("graz", "linz");
    catalogues.advance(Duration.ofSeconds(4));
    expectVersion(2, ALL);
  }

  private CompletableFuture<Acceptance> submitInCutOffDomain() {
    CompletableFuture<Acceptance> acceptance = catalogues.submit("linz.1", putModel("refused"));
    catalogues.advance(Duration.ofMillis(50));
    return acceptance;
  }

  @Test
  void shouldLoadCatalogueFromPeersWhenStartedDuringPlatformOutage() {
    catalogues.acceptChanges("wien.1", 3);
    catalogues.table.setFault(InMemoryTable.Fault.OUTAGE);
    catalogues.store.setUnavailable(true);
    catalogues.cluster.crash("linz.2");
    catalogues.advance(Duration.ofSeconds(5));
    catalogues.cluster.start("linz.2");
    catalogues.advance(Duration.ofSeconds(4));
    expectVersion(3, ALL);
    assertThat(catalogues.controllerOf("linz.2").current())
        .isEqualTo(catalogues.controllerOf("wien.1").current());
  }

  @Test
  void shouldLoadSnapshotWhenAllInstancesWereRestarted() {
    catalogues.acceptChanges("wien.1", 103);
    for (String name : ALL) {
      catalogues.cluster.crash(name);
    }
    catalogues.cluster.start("wien.1");
    catalogues.advance(Duration.ofSeconds(5));
    expectVersion(103, "wien.1");
    assertThat(catalogues.tableOf("wien.1").reads())
        .as("reads of the changes after the snapshot, and one more per poll")
        .isLessThan(12);
  }

  @Test
  void shouldFetchWholeCatalogueFromPeerWhenMissingChangesAreNoLongerCached() {
    catalogues.cluster.pause("linz.2");
    catalogues.tableOf("linz.2").setCut(true);
    catalogues.acceptChanges("wien.1", 210);
    catalogues.cluster.resume("linz.2");
    catalogues.advance(Duration.ofSeconds(5));
    expectVersion(210, ALL);
  }

  @Test
  void shouldNeverDecreaseVersionWhenReadsAreStale() {
    catalogues.acceptChanges("wien.1", 2);
    for (String name : ALL) {
      catalogues.tableOf(name).setReadsStale(true);
    }
    catalogues.advance(Duration.ofSeconds(10));
    expectVersion(2, ALL);
    CompletableFuture<Acceptance> acceptance = submitAndAdvance(putModel("more"));
    assertThat(acceptance.getNow(null).version()).isEqualTo(3);
    expectVersion(3, ALL);
  }

  @Test
  void shouldPropagateByPollingWhenAcceptingInstanceCrashesAtOnce() {
    catalogues.table.setFault(InMemoryTable.Fault.LOST_ANSWER);
    final CompletableFuture<Acceptance> acceptance =
        catalogues.submit("wien.1", putModel("orphan"));
    catalogues.advance(Duration.ofNanos(1));
    catalogues.cluster.crash("wien.1");
    catalogues.table.setFault(InMemoryTable.Fault.NONE);
    catalogues.advance(Duration.ofSeconds(4));
    assertThat(acceptance).isNotDone();
    expectVersion(1, "wien.2", "linz.1", "linz.2", "graz.1");
  }

  @Test
  void shouldReturnChangesAfterVersionWhenHistoryIsQueried() {
    catalogues.acceptChanges("wien.1", 3);
    CompletableFuture<java.util.SortedMap<Long, Change>> history =
        catalogues.controllerOf("graz.1").history(1);
    catalogues.advance(Duration.ofMillis(10));
    assertThat(history.getNow(null).keySet()).containsExactly(2L, 3L);
    assertThat(history.getNow(null).get(3L).operator()).isEqualTo("operator-of-wien.1");
  }
}
