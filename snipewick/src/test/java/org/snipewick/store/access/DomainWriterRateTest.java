package org.snipewick.store.access;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipewick.event.EventLog;
import org.snipewick.idempotency.KeyState;
import org.snipewick.idempotency.KeyedRequest;
import org.snipewick.idempotency.LedgerSettings;
import org.snipewick.idempotency.TableRequestLedger;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.RequestId;
import org.snipewick.identity.TeamName;
import org.snipewick.membership.Member;
import org.snipewick.membership.MembershipView;
import org.snipewick.membership.Rendezvous;
import org.snipewick.membership.SettableMembership;
import org.snipewick.peer.InMemoryPeers;
import org.snipewick.peer.MessageBytes;
import org.snipewick.peer.MeteredNetwork;
import org.snipewick.peer.PeerCodec;
import org.snipewick.peer.PeerNetwork;
import org.snipewick.store.InMemoryTable;
import org.snipewick.store.Row;
import org.snipewick.store.Table;
import org.snipewick.store.TableRow;
import org.snipewick.store.Write;
import org.snipewick.store.WriteResult;
import org.snipewick.store.WriteResult.Applied;
import org.snipewick.time.VirtualTimerService;
import org.snipewick.writer.DomainTable;
import org.snipewick.writer.DomainWriter;
import org.snipewick.writer.WriterMessages;

/**
 * Wait times and write rate of claims of idempotency keys at many instances, with and without
 * writers of the failure domains, in virtual time.
 */
class DomainWriterRateTest {
  private static final long SEED = 3;
  private static final double ALL_WRITES_PER_SECOND = 320;
  private static final int CLAIMS_PER_SECOND = 1_000;
  private static final int LOAD_SECONDS = 20;
  private static final Duration STORE_LATENCY = Duration.ofMillis(10);
  private static final Duration PEER_LATENCY = Duration.ofMillis(1);
  private static final Duration KILLED_AT = Duration.ofSeconds(8);
  private static final Duration FAILURE_DETECTION_TIME = Duration.ofMillis(2_500);
  private static final double NANOS_PER_MILLI = 1e6;
  private static final FailureDomain FIRST_DOMAIN = FailureDomain.of("d0");

  private final VirtualTimerService timer = VirtualTimerService.of(1_800_000_000_000L);
  private final Random random = new Random(SEED);
  private final InMemoryPeers peers = new InMemoryPeers(timer, PEER_LATENCY);
  private final PeerCodec codec = PeerCodec.ofAll(WriterMessages.MESSAGE_TYPES);
  private final MessageBytes bytes = new MessageBytes();
  private final InMemoryTable storeTable = new InMemoryTable();
  private final StoreSettings settings =
      StoreSettings.of("127.0.0.1", 1).withAllWritesPerSecond(ALL_WRITES_PER_SECOND);
  private final List<Instance> instances = new ArrayList<>();
  private final Map<Long, Integer> callsInSecond = new HashMap<>();
  private final List<Double> waitsMillis = new ArrayList<>();
  private final List<Double> waitsWithoutWriterMillis = new ArrayList<>();
  private int notClaimed;

  @ParameterizedTest(name = "{0} instances in {1} domains, writers {2}, killed {3}")
  @CsvSource({
    "8, 4, false, false, 40",
    "8, 4, true, false, 40",
    "64, 16, false, false, 220",
    "64, 16, true, false, 150",
    "340, 16, false, false, 1100",
    "340, 16, true, false, 150",
    "64, 16, true, true, 150",
    "340, 16, true, true, 150"
  })
  void shouldStayWithinSharedRateAndLimitWaitsWhenManyInstancesClaim(
      int count, int domains, boolean writers, boolean killed, double maxP99Millis) {
    MembershipView view = start(count, domains, writers);
    scheduleClaims();
    InstanceId killedId =
        Rendezvous.first("writer/d0", view.aliveIn(FIRST_DOMAIN), member -> member.id().value())
            .map(Member::id)
            .orElseThrow();
    if (killed) {
      timer.after(KILLED_AT, () -> kill(killedId));
    }
    timer.advance(Duration.ofSeconds(LOAD_SECONDS + 20));
    printSummary(count, domains, writers, killed);

    assertThat(notClaimed).isZero();
    assertThat(callsInSecond.values()).allMatch(calls -> calls <= ALL_WRITES_PER_SECOND * 1.1);
    assertThat(percentile(waitsMillis, 0.99)).isLessThan(maxP99Millis);
  }

  private MembershipView start(int count, int domains, boolean writers) {
    String[] names = new String[count];
    for (int index = 0; index < count; index++) {
      names[index] = "d" + index % domains + "." + index;
    }
    WriteShares shares =
        writers
            ? WriteShares.withWriters(settings, count, domains)
            : WriteShares.withoutWriters(settings, count);
    MembershipView view = SettableMembership.viewOf(names[0], names);
    for (String name : names) {
      instances.add(new Instance(new MembershipView(InstanceId.of(name), view.members()), shares));
    }
    return view;
  }

  private void scheduleClaims() {
    for (int number = 0; number < LOAD_SECONDS * CLAIMS_PER_SECOND; number++) {
      Instance instance = instances.get(random.nextInt(instances.size()));
      long sequence = number;
      Duration delay = Duration.ofNanos((long) (random.nextDouble() * LOAD_SECONDS * 1e9));
      timer.after(delay, () -> instance.claim(sequence));
    }
  }

  private void kill(InstanceId killedId) {
    peers.crash(killedId);
    for (Instance instance : instances) {
      instance.alive &= !instance.id.equals(killedId);
      timer.after(FAILURE_DETECTION_TIME, () -> instance.markDead(killedId));
    }
  }

  private void printSummary(int count, int domains, boolean writers, boolean killed) {
    int calls = callsInSecond.values().stream().mapToInt(Integer::intValue).sum();
    long sent = bytes.all().values().stream().mapToLong(Long::longValue).sum() / 2;
    System.out.printf(
        Locale.ROOT,
        "instances=%d domains=%d writers=%b killed=%b seed=%d claims=%d wait ms mean=%.0f "
            + "p50=%.0f p99=%.0f max=%.0f calls/s=%.0f most=%d bytes per claim=%d%n",
        count,
        domains,
        writers,
        killed,
        SEED,
        waitsMillis.size(),
        waitsMillis.stream().mapToDouble(Double::doubleValue).average().orElseThrow(),
        percentile(waitsMillis, 0.5),
        percentile(waitsMillis, 0.99),
        percentile(waitsMillis, 1),
        (double) calls / LOAD_SECONDS,
        callsInSecond.values().stream().mapToInt(Integer::intValue).max().orElseThrow(),
        sent / waitsMillis.size());
    if (killed) {
      System.out.printf(
          Locale.ROOT,
          "  in the domain, from the kill to its detection: claims=%d p50=%.0f p99=%.0f%n",
          waitsWithoutWriterMillis.size(),
          percentile(waitsWithoutWriterMillis, 0.5),
          percentile(waitsWithoutWriterMillis, 0.99));
    }
  }

  private static double percentile(List<Double> values, double fraction) {
    List<Double> sorted = values.stream().sorted().toList();
    return sorted.get((int) Math.min(sorted.size() - 1, sorted.size() * fraction));
  }

  private final class Instance {
    private final InstanceId id;
    private final SettableMembership membership;
    private final TableRequestLedger ledger;
    private boolean alive = true;

    Instance(MembershipView view, WriteShares shares) {
      id = view.self();
      membership = new SettableMembership(view);
      PeerNetwork network = new MeteredNetwork(id, peers.join(id), codec, bytes);
      Table direct = new BatchedTable(batcher(shares.directPerSecond()));
      Table shared = new BatchedTable(batcher(shares.writerOrDirectPerSecond()));
      DomainWriter.start(network, membership, shared, shares::usesWriters);
      DomainTable table =
          DomainTable.of(
              new DomainTable.Tables(direct, shared, Duration.ofMillis(1_200)),
              network,
              membership,
              timer,
              EventLog.none(),
              shares::usesWriters);
      ledger =
          TableRequestLedger.of(
              table,
              membership,
              timer,
              new Random(id.hashCode()),
              EventLog.none(),
              LedgerSettings.defaults());
    }

    void claim(long sequence) {
      if (!alive) {
        return;
      }
      KeyedRequest request =
          new KeyedRequest(
              RequestId.of(id, 1, sequence),
              TeamName.of("dispatch"),
              "01890a5d-ac96-774b-bcce-" + (100_000_000_000L + sequence),
              "fingerprint-of-22-char",
              true);
      long start = timer.nanoTime();
      var unused =
          ledger.claim(request).whenComplete((state, failure) -> recordClaim(start, state));
    }

    private void recordClaim(long start, KeyState state) {
      if (!alive) {
        return;
      }
      double waitMillis = (timer.nanoTime() - start) / NANOS_PER_MILLI;
      waitsMillis.add(waitMillis);
      notClaimed += state instanceof KeyState.Fresh ? 0 : 1;
      boolean isWithoutWriter =
          start >= KILLED_AT.toNanos()
              && start < KILLED_AT.plus(FAILURE_DETECTION_TIME).toNanos()
              && membership.view().localDomain().equals(FIRST_DOMAIN);
      if (isWithoutWriter) {
        waitsWithoutWriterMillis.add(waitMillis);
      }
    }

    void markDead(InstanceId dead) {
      Map<InstanceId, Member> members = new HashMap<>(membership.view().members());
      members.computeIfPresent(dead, (name, member) -> member.withState(Member.State.DEAD));
      membership.setView(new MembershipView(id, members));
    }

    private WriteBatcher batcher(double callsPerSecond) {
      CircuitBreaker circuit =
          new CircuitBreaker(
              settings.circuit(), timer, EventLog.none(), random, CompletableFuture::new);
      return new WriteBatcher(
          settings,
          this::call,
          timer,
          circuit,
          new RetryPolicy(settings.retry(), random),
          () -> callsPerSecond);
    }

    private CompletableFuture<StoreResult<TransactionResult>> call(List<Write> writes) {
      CompletableFuture<StoreResult<TransactionResult>> call = new CompletableFuture<>();
      if (alive) {
        callsInSecond.merge(timer.nanoTime() / 1_000_000_000L, 1, Integer::sum);
        TransactionResult result = transact(writes);
        timer.after(STORE_LATENCY, () -> call.complete(new StoreResult.Succeeded<>(result)));
      }
      return call;
    }
  }

  private TransactionResult transact(List<Write> writes) {
    List<TableRow> current =
        writes.stream()
            .flatMap(write -> storeTable.read(write.key()).join().stream())
            .map(row -> new TableRow("", row.key(), row.value().getBytes(UTF_8), row.version()))
            .toList();
    if (!current.isEmpty()) {
      return new TransactionResult.Conflict(current);
    }
    writes.forEach(write -> assertThat(storeTable.write(write).join()).isInstanceOf(Applied.class));
    return new TransactionResult.Committed(writes.size());
  }

  private record BatchedTable(WriteBatcher batcher) implements Table {

    @Override
    public CompletableFuture<Optional<Row>> read(String key) {
      return CompletableFuture.failedFuture(new UnsupportedOperationException(key));
    }

    @Override
    public CompletableFuture<List<Row>> scan(String prefix) {
      return CompletableFuture.failedFuture(new UnsupportedOperationException(prefix));
    }

    @Override
    public CompletableFuture<WriteResult> write(Write write) {
      return batcher.add(write);
    }
  }
}
