package org.snipewick.feed;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import org.snipewick.event.EventLog;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.fleet.FleetMember;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;
import org.snipewick.peer.Frame;
import org.snipewick.peer.PeerCodec;
import org.snipewick.peer.PeerMessage;
import org.snipewick.peer.PeerNetwork;
import org.snipewick.store.MirrorListener;
import org.snipewick.store.PollSchedule;
import org.snipewick.store.RowChanges;
import org.snipewick.store.RowPage;
import org.snipewick.store.TableMirror;
import org.snipewick.store.TableReader;
import org.snipewick.store.TableRow;
import org.snipewick.time.Moment;
import org.snipewick.time.TimerService;
import org.snipewick.time.VirtualTimerService;

/**
 * Instances that mirror four tables of one store on virtual time. Each proof that a mirror receives
 * is checked against the history of the store, and each row must be received once.
 */
final class FeedFleet {
  static final String CONFIGURATION = "op";
  private static final Duration STORE_DELAY = Duration.ofMillis(3);
  private static final Duration STORE_TIMEOUT = Duration.ofMillis(800);

  /**
   * Longer timeouts of the network are not simulated, but for dead instances: the feeds have their
   * own, and the timers would make the tests slow.
   */
  private static final Duration SHORT_TIMEOUT = Duration.ofMillis(200);

  private static final long MAX_NETWORK_DELAY_NANOS = 1_500_000;

  /** Tables with the schedules that the process of an instance uses. */
  private static final Map<String, FeedSchedule> TABLES =
      Map.of(
          CONFIGURATION,
          schedule(2_000, 0, 1_000),
          "servers",
          schedule(2_000, 500, 2_000),
          "quarantine",
          schedule(3_000, 400, 3_000),
          FleetMember.TABLE,
          schedule(10_000, 2_000, 10_000));

  final VirtualTimerService timer = VirtualTimerService.of(1_000_000);
  final FeedStore store = new FeedStore(timer);
  final Map<InstanceId, Process> processes = new TreeMap<>(FeedFleet::compare);
  final Set<InstanceId> frozen = new HashSet<>();

  /** Instances whose process ended, while their registration remains. */
  final Set<InstanceId> dead = new HashSet<>();

  final Set<InstanceId> cutFromStore = new HashSet<>();
  final Set<InstanceId> cutFromPeers = new HashSet<>();
  final Map<InstanceId, Duration> slowness = new HashMap<>();

  /** Time added to the proofs of a reader that is wrong about their age. */
  final Map<InstanceId, Duration> wrongOffsets = new HashMap<>();

  /** Proofs and rows that were wrong; exceptions in a listener would be lost in futures. */
  final List<String> violations = new ArrayList<>();

  boolean isStoreDown;
  long storeCalls;
  long peerBytes;
  private final SplittableRandom random = new SplittableRandom(18);
  private final PeerCodec codec = PeerCodec.ofAll(FeedMessages.MESSAGE_TYPES);
  private final int domains;

  FeedFleet(int instances, int domains) {
    this.domains = domains;
    TABLES.keySet().forEach(table -> store.write(table, "first"));
    for (int index = 0; index < instances; index++) {
      InstanceId instance = InstanceId.of("i" + index);
      processes.put(instance, new Process(instance));
    }
    processes.values().forEach(Process::updatePeers);
    processes.values().forEach(Process::startMirrors);
  }

  private static FeedSchedule schedule(long waitMillis, long pauseMillis, long readerWaitMillis) {
    return new FeedSchedule(
        new PollSchedule(Duration.ofMillis(waitMillis), Duration.ofMillis(pauseMillis)),
        Duration.ofMillis(readerWaitMillis));
  }

  private static int compare(InstanceId one, InstanceId other) {
    return one.value().compareTo(other.value());
  }

  /** Starts another process of an instance, whose earlier one ends. */
  void start(InstanceId instance) {
    Process process = new Process(instance);
    processes.put(instance, process);
    process.updatePeers();
    process.startMirrors();
  }

  List<Process> readers() {
    return processes.values().stream().filter(each -> each.selection.isReader()).toList();
  }

  List<Process> followers() {
    return processes.values().stream()
        .filter(each -> !each.selection.isReader() && !each.selection.readers().isEmpty())
        .toList();
  }

  /** A process with its mirrors, its clocks, and its access to the store and to peers. */
  final class Process implements PeerNetwork, TableReader, TimerService {
    final InstanceId instance;
    final MetricRegistry metrics = new MetricRegistry();
    final Map<String, Mirror> mirrors = new HashMap<>();

    /** Time for which the host was suspended, so that the monotonic clock stopped. */
    Duration suspended = Duration.ZERO;

    private ReaderSelection selection = ReaderSelection.none();
    private final FleetMember member;
    private final SharedReads reads;
    private final Deque<Runnable> delayed = new ArrayDeque<>();
    private BiFunction<InstanceId, PeerMessage, CompletableFuture<? extends PeerMessage>> handler;

    Process(InstanceId instance) {
      this.instance = instance;
      int number = Integer.parseInt(instance.value().substring(1));
      this.member =
          new FleetMember(
              instance,
              FailureDomain.of("d" + number % domains),
              new InetSocketAddress("127.0.0.1", 1 + number));
      this.reads = SharedReads.of(this, this, EventLog.none(), metrics);
      reads.join(this, Runnable::run);
    }

    void startMirrors() {
      TABLES.forEach(
          (table, schedule) -> {
            Mirror mirror = new Mirror(this, table);
            mirrors.put(table, mirror);
            TableMirror.start(
                reads.feed(table, schedule),
                table,
                schedule.polls().withoutPause(),
                this,
                EventLog.none(),
                new SplittableRandom(instance.hashCode()),
                mirror);
          });
    }

    void updatePeers() {
      List<FleetMember> others =
          processes.values().stream()
              .filter(process -> process != this)
              .map(process -> process.member)
              .toList();
      reads.setPeers(member, others);
      selection = ReaderSelection.of(member, others);
    }

    Mirror configuration() {
      return mirrors.get(CONFIGURATION);
    }

    long count(String metric) {
      return metrics.counter(metric).getCount();
    }

    void run(Runnable task) {
      if (processes.get(instance) != this || dead.contains(instance)) {
        return;
      }
      if (frozen.contains(instance)) {
        delayed.add(task);
      } else {
        task.run();
      }
    }

    void wake() {
      frozen.remove(instance);
      while (!delayed.isEmpty()) {
        delayed.remove().run();
      }
    }

    @Override
    public long nanoTime() {
      return timer.nanoTime() - suspended.toNanos();
    }

    @Override
    public long epochMillis() {
      return timer.epochMillis();
    }

    @Override
    public Subscription after(Duration delay, Runnable task) {
      return timer.after(delay, () -> run(task));
    }

    @Override
    public Subscription every(Duration period, Runnable task) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<PeerMessage> call(InstanceId to, PeerMessage message, Duration limit) {
      CompletableFuture<PeerMessage> reply = new CompletableFuture<>();
      peerBytes += 2L * codec.encode(new Frame.Call(1 << 20, message)).length;
      transmit(to, () -> processes.get(to).receive(this, message, reply));
      if (limit.compareTo(SHORT_TIMEOUT) <= 0 || dead.contains(to)) {
        after(limit, () -> reply.completeExceptionally(unavailable()));
      }
      return reply;
    }

    private void transmit(InstanceId to, Runnable delivery) {
      Duration delay =
          Duration.ofNanos(random.nextLong(MAX_NETWORK_DELAY_NANOS))
              .plus(slowness.getOrDefault(instance, Duration.ZERO))
              .plus(slowness.getOrDefault(to, Duration.ZERO));
      timer.after(
          delay,
          () -> {
            if (processes.containsKey(to)
                && !cutFromPeers.contains(instance)
                && !cutFromPeers.contains(to)) {
              processes.get(to).run(delivery);
            }
          });
    }

    private void receive(
        Process from, PeerMessage message, CompletableFuture<PeerMessage> receiver) {
      handler
          .apply(from.instance, message)
          .thenAccept(
              reply -> {
                FeedMessages.Reply sent = withWrongOffset((FeedMessages.Reply) reply);
                peerBytes += 2L * codec.encode(new Frame.Reply(1 << 20, Optional.of(sent))).length;
                transmit(from.instance, () -> from.run(() -> receiver.complete(sent)));
              });
    }

    private FeedMessages.Reply withWrongOffset(FeedMessages.Reply reply) {
      return new FeedMessages.Reply(
          reply.status(),
          reply.written(),
          reply.removedKeys(),
          reply.version(),
          reply.proofOffset().plus(wrongOffsets.getOrDefault(instance, Duration.ZERO)),
          reply.proofNumber(),
          reply.era());
    }

    @Override
    public void send(InstanceId to, PeerMessage message) {
      throw new UnsupportedOperationException();
    }

    @Override
    @SuppressWarnings("unchecked")
    public <M extends PeerMessage> void handle(
        Class<M> type,
        BiFunction<InstanceId, M, CompletableFuture<? extends PeerMessage>> handles) {
      handler = (from, message) -> handles.apply(from, (M) message);
    }

    @Override
    public void setAddress(InstanceId peer, InetSocketAddress address) {}

    @Override
    public CompletableFuture<RowPage> read(String table, Optional<String> after) {
      CompletableFuture<RowPage> result = new CompletableFuture<>();
      storeCalls++;
      timer.after(STORE_DELAY, () -> respond(result, store.page(table)));
      return result;
    }

    @Override
    public CompletableFuture<RowChanges> changes(String table, long version, Duration maxWait) {
      CompletableFuture<RowChanges> result = new CompletableFuture<>();
      storeCalls++;
      timer.after(
          STORE_DELAY,
          () -> store.poll(table, version, maxWait, changes -> respond(result, changes)));
      return result;
    }

    private <T> void respond(CompletableFuture<T> result, T response) {
      if (!isStoreDown && !cutFromStore.contains(instance)) {
        after(STORE_DELAY, () -> result.complete(response));
      } else {
        after(STORE_TIMEOUT, () -> result.completeExceptionally(unavailable()));
      }
    }

    private RuntimeException unavailable() {
      return Failure.unknown(FailureType.PLATFORM_UNAVAILABLE, "no response").toException();
    }
  }

  /** Rows of a table as received by an instance. */
  final class Mirror implements MirrorListener {
    final Map<String, Long> rows = new TreeMap<>();
    boolean isAvailable = true;
    private final Process process;
    private final String table;
    private Optional<Moment> provenAt = Optional.empty();

    /** Number of changes in the history that are known to be received or superseded. */
    private int checked;

    Mirror(Process process, String table) {
      this.process = process;
      this.table = table;
    }

    @Override
    public void onRows(List<TableRow> received, Moment proof) {
      rows.clear();
      received.forEach(row -> rows.put(row.key(), row.version()));
      check(proof);
    }

    @Override
    public void onChanges(RowChanges.Delta changes, Moment proof) {
      for (TableRow row : changes.written()) {
        Long replaced = rows.put(row.key(), row.version());
        if (replaced != null && replaced >= row.version()) {
          violations.add(process.instance + " received twice " + row.key());
        }
      }
      rows.keySet().removeAll(changes.removedKeys());
      check(proof);
    }

    /** Checks that no change is missing that the store had made by the moment of the proof. */
    private void check(Moment proof) {
      if (provenAt.isEmpty() || proof.monotonicNanos() > provenAt.get().monotonicNanos()) {
        provenAt = Optional.of(proof);
      }
      // The age of a proof is the greater one by the two clocks. The wall clock is never wrong
      // here.
      long proofNanos = timer.nanoTime() - Moment.now(process).since(proof).toNanos();
      while (store.hasChange(checked, proofNanos)) {
        FeedStore.Change change = store.change(checked);
        checked++;
        Long expected = change.isRemoval() ? null : Long.valueOf(checked);
        if (change.table().equals(table)
            && store.isLatest(change, checked)
            && !Objects.equals(rows.get(change.key()), expected)) {
          violations.add(process.instance + " lacks at its proof " + change);
        }
      }
    }

    long proofAgeMillis() {
      return Moment.now(process).since(provenAt.orElseThrow()).toMillis();
    }

    boolean isCurrent() {
      return rows.equals(store.rows(table));
    }

    @Override
    public void onUnavailable() {
      isAvailable = false;
    }

    @Override
    public void onAvailableAgain() {
      isAvailable = true;
    }
  }
}
