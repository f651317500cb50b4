package org.snipewick.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.snipewick.catalogue.Catalogue;
import org.snipewick.catalogue.CatalogueSource;
import org.snipewick.endpoint.LoadReport;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.PoolName;
import org.snipewick.membership.SettableMembership;
import org.snipewick.peer.InMemoryPeers;
import org.snipewick.pool.EndpointStatus;
import org.snipewick.store.ListedInstance;
import org.snipewick.time.VirtualTimerService;

class EndpointStatusesTest {
  private static final Duration SECOND = Duration.ofSeconds(1);
  private static final int ENDPOINT_COUNT = 30;

  private final VirtualTimerService timer = VirtualTimerService.of(1_000);
  private final SettableMembership membership =
      new SettableMembership(SettableMembership.viewOf("a.1", "a.1"));
  private final InMemoryPeers peers = new InMemoryPeers(timer, Duration.ofMillis(1));
  private final EndpointDirectory directory =
      EndpointDirectory.start(
          membership,
          () -> CompletableFuture.completedFuture(listed()),
          peers.join(InstanceId.of("a.1")),
          timer);
  private final List<EndpointStatus> changes = new ArrayList<>();
  private final List<EndpointId> reports = new ArrayList<>();
  private final EndpointStatuses statuses =
      EndpointStatuses.start(
          membership, new EmptyCatalogueSource(), directory, new Recorder(), timer);

  @BeforeEach
  void awaitList() {
    timer.advance(SECOND.multipliedBy(2));
    assertThat(statuses.current()).hasSize(ENDPOINT_COUNT);
    changes.clear();
  }

  @Test
  void shouldNotifyOfOneEndpointOnlyWhenOneReports() {
    report("engine-3", "leaving", 1);

    assertThat(changes).hasSize(1);
    assertThat(changes.get(0).id()).isEqualTo(EndpointId.of("engine-3"));
    assertThat(changes.get(0).state()).isEqualTo(EndpointStatus.State.LEAVING);
  }

  @Test
  void shouldNotifyOfReportButNotOfChangeWhenReportIsUnchanged() {
    report("engine-3", "live", 1);
    report("engine-3", "live", 1);
    assertThat(changes).hasSize(1);
    assertThat(reports).hasSize(2);

    report("engine-3", "live", 2);
    assertThat(changes).hasSize(2);
  }

  @Test
  void shouldNotifyOfUnchangedReportWhenPoolWasScheduledElsewhereMeanwhile() {
    report("engine-3", "leaving", 1);
    membership.setView(SettableMembership.viewOf("a.1", manyMembers()));
    timer.advance(SECOND);
    assertThat(statuses.current()).isEmpty();
    membership.setView(SettableMembership.viewOf("a.1", "a.1"));
    timer.advance(SECOND);
    changes.clear();

    report("engine-3", "leaving", 1);

    assertThat(changes)
        .extracting(EndpointStatus::state)
        .containsOnly(EndpointStatus.State.LEAVING);
  }

  @Test
  void shouldFindEndpointOnlyWhenListedInPool() {
    EndpointId id = EndpointId.of("engine-3");

    assertThat(statuses.find(PoolName.of("planner"), id)).isPresent();
    assertThat(statuses.find(PoolName.of("another"), id)).isEmpty();
  }

  /** Returns enough members that one other than a.1 schedules the pool. */
  private static String[] manyMembers() {
    return IntStream.rangeClosed(1, 30).mapToObj(number -> "a." + number).toArray(String[]::new);
  }

  private void report(String id, String state, int running) {
    EndpointStatus listedStatus =
        statuses.current().stream()
            .filter(status -> status.id().equals(EndpointId.of(id)))
            .findFirst()
            .orElseThrow();
    statuses.updateReport(new LoadReport(state, running, 0, -1, 0, 0, 0).applyTo(listedStatus));
    timer.advance(Duration.ofMillis(1));
  }

  private static List<ListedInstance> listed() {
    return IntStream.range(0, ENDPOINT_COUNT)
        .mapToObj(
            number ->
                new ListedInstance(
                    "engine-" + number,
                    ListedInstance.Kind.ENDPOINT,
                    FailureDomain.of("a"),
                    "127.0.0.1",
                    1,
                    "planner",
                    ListedInstance.State.LIVE))
        .toList();
  }

  private final class Recorder implements EndpointListener {
    @Override
    public void onChanged(PoolName pool, EndpointStatus status) {
      changes.add(status);
    }

    @Override
    public void onReported(EndpointId endpoint) {
      reports.add(endpoint);
    }

    @Override
    public void onRemoved(PoolName pool, EndpointId endpoint) {
      throw new AssertionError("unexpected removal: " + endpoint);
    }
  }

  private static final class EmptyCatalogueSource implements CatalogueSource {
    @Override
    public Catalogue current() {
      return Catalogue.empty();
    }

    @Override
    public void subscribe(Consumer<Catalogue> listener) {
      listener.accept(Catalogue.empty());
    }
  }
}
