package org.snipewick.idempotency;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.snipewick.membership.Member;
import org.snipewick.store.InMemoryTable;
import org.snipewick.store.InMemoryTable.Fault;
import org.snipewick.store.Row;
import org.snipewick.store.Table;
import org.snipewick.store.Write;
import org.snipewick.store.WriteResult;

/** First starts and restarts of a whole failure domain while the platform has faults. */
class DomainStartMarkerTest {
  private static final String KEY = "a.key";
  private static final Duration LONGER_THAN_RETENTION = Duration.ofMinutes(5);

  /** Each case stops and restarts all instances of the domain after a dispatch. */
  static Stream<Arguments> restarts() {
    return Stream.of(
        arguments("platform up", restart(Domain::restart)),
        arguments(
            "platform outage during the restart",
            restart(
                domain -> {
                  domain.table.setFault(Fault.OUTAGE);
                  domain.restart();
                })),
        arguments(
            "answers of writes lost during the restart",
            restart(
                domain -> {
                  domain.table.setFault(Fault.LOST_ANSWER);
                  domain.restart();
                })),
        arguments(
            "writes lost during the restart",
            restart(
                domain -> {
                  domain.table.setFault(Fault.LOST_WRITE);
                  domain.restart();
                })),
        arguments(
            "stale reads during the restart",
            restart(
                domain -> {
                  domain.kill();
                  domain.start(new StaleTable(domain.table));
                })),
        arguments(
            "two restarts, platform outage during the first one only",
            restart(
                domain -> {
                  domain.table.setFault(Fault.OUTAGE);
                  domain.restart();
                  domain.table.setFault(Fault.NONE);
                  domain.restart();
                })));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("restarts")
  void shouldNotDispatchTwiceWhenWholeDomainRestarts(String name, Consumer<Domain> restart) {
    Domain domain = new Domain();
    domain.start(domain.table);
    assertThat(domain.claim()).isEqualTo("Fresh");
    restart.accept(domain);
    assertThat(domain.claim()).isEqualTo("Unknown");
    assertThat(domain.dispatches()).isEqualTo(1);
  }

  @Test
  void shouldNotDispatchTwiceWhenDomainRestartsAfterLongOutage() {
    Domain domain = new Domain();
    domain.start(domain.table);
    domain.table.setFault(Fault.OUTAGE);
    domain.cluster.advance(LONGER_THAN_RETENTION);
    assertThat(domain.claim()).isEqualTo("Fresh");
    domain.kill();
    domain.table.setFault(Fault.NONE);
    domain.start(domain.table);
    assertThat(domain.claim()).isEqualTo("Unknown");
    assertThat(domain.dispatches()).isEqualTo(1);
  }

  @Test
  void shouldNotDispatchTwiceWhenOutageDuringFirstStartEndedBeforeRestart() {
    Domain domain = new Domain();
    domain.table.setFault(Fault.OUTAGE);
    domain.start(domain.table);
    assertThat(domain.claim()).isEqualTo("Unknown");
    domain.cluster.advance(LONGER_THAN_RETENTION);
    assertThat(domain.claim()).isEqualTo("Fresh");
    domain.table.setFault(Fault.NONE);
    domain.cluster.advance(Duration.ofMinutes(1));
    domain.restart();
    assertThat(domain.claim()).isEqualTo("Unknown");
    assertThat(domain.dispatches()).isEqualTo(1);
  }

  @Test
  void shouldGrantKeysWithoutCreationTimeWhenRetentionHasPassedSinceRestart() {
    Domain domain = new Domain();
    domain.start(domain.table);
    domain.restart();
    assertThat(domain.claim()).isEqualTo("Unknown");
    domain.cluster.advance(LONGER_THAN_RETENTION);
    assertThat(domain.claim()).isEqualTo("Fresh");
  }

  @ParameterizedTest
  @EnumSource(Fault.class)
  void shouldGrantKeyCreatedAfterRestartWhenPlatformHasAnyFault(Fault fault) {
    Domain domain = new Domain();
    domain.start(domain.table);
    domain.table.setFault(fault);
    domain.restart();
    domain.cluster.advance(Duration.ofSeconds(3));
    long nowEpochMillis = domain.cluster.timer.epochMillis();
    String key = "a." + RegistrarLedgerFaultsTest.uuidWithTimestamp(nowEpochMillis, 1);
    assertThat(domain.cluster.claim("a.2", key).result()).isEqualTo("Fresh");
  }

  @Test
  void shouldGrantWhenAnswerOfFirstMarkerWriteIsLostOnce() {
    Domain domain = new Domain();
    domain.table.setFault(Fault.LOST_ANSWER);
    domain.join("a.1", domain.table);
    domain.table.setFault(Fault.NONE);
    domain.cluster.advance(Duration.ofSeconds(1));
    assertThat(domain.cluster.claim("a.1", KEY).result()).isEqualTo("Fresh");
  }

  @ParameterizedTest
  @EnumSource(names = {"OUTAGE", "LOST_ANSWER", "LOST_WRITE"})
  void shouldGrantWhenPlatformRecoversSoonAfterFirstStart(Fault fault) {
    Domain domain = new Domain();
    domain.table.setFault(fault);
    domain.start(domain.table);
    domain.cluster.advance(Duration.ofSeconds(2));
    domain.table.setFault(Fault.NONE);
    domain.cluster.advance(Duration.ofSeconds(6));
    assertThat(domain.claim()).isEqualTo("Fresh");
    domain.restart();
    assertThat(domain.claim()).isEqualTo("Unknown");
  }

  private static Consumer<Domain> restart(Consumer<Domain> restart) {
    return restart;
  }

  /** Failure domain of three instances, and the platform's table. */
  private static final class Domain {
    private static final List<String> MEMBERS = List.of("a.1", "a.2", "a.3");
    final KeyCluster cluster = KeyCluster.of();
    final InMemoryTable table = new InMemoryTable();
    private long incarnation;

    /** Starts all instances; they access the platform through the given table. */
    void start(Table accessed) {
      incarnation++;
      MEMBERS.forEach(name -> join(name, accessed));
      cluster.advance(Duration.ofSeconds(1));
    }

    void join(String name, Table accessed) {
      KeyCluster.Node node = cluster.join(name, incarnation);
      cluster.updateViews(node.member, Member.State.ALIVE);
      assertThat(DomainStartMarker.start(accessed, node.ledger)).isNotNull();
    }

    void kill() {
      MEMBERS.forEach(cluster::crash);
    }

    void restart() {
      kill();
      start(table);
    }

    String claim() {
      return cluster.claim("a.2", KEY).dispatch().result();
    }

    int dispatches() {
      return cluster.dispatches.getOrDefault(KEY, 0);
    }
  }

  /** Table whose reads return no rows, while the conditions of writes apply to the latest rows. */
  private record StaleTable(InMemoryTable latest) implements Table {
    @Override
    public CompletableFuture<Optional<Row>> read(String key) {
      return CompletableFuture.completedFuture(Optional.empty());
    }

    @Override
    public CompletableFuture<List<Row>> scan(String prefix) {
      return CompletableFuture.completedFuture(List.of());
    }

    @Override
    public CompletableFuture<WriteResult> write(Write write) {
      return latest.write(write);
    }
  }
}
