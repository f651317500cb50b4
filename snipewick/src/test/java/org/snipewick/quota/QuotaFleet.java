package org.snipewick.quota;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.snipewick.event.EventLog;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.fleet.FleetMember;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;
import org.snipewick.peer.PeerMessage;
import org.snipewick.peer.PeerNetwork;
import org.snipewick.placement.EndpointPermits;
import org.snipewick.route.TeamPlan;
import org.snipewick.store.ConditionalTableWriter;
import org.snipewick.store.EraTracker;
import org.snipewick.store.Row;
import org.snipewick.store.RowChanges;
import org.snipewick.store.RowPage;
import org.snipewick.store.TableReader;
import org.snipewick.store.TableRow;
import org.snipewick.store.Write;
import org.snipewick.store.WriteResult;
import org.snipewick.time.TimerService;
import org.snipewick.time.VirtualTimerService;

/**
 * Instances that share the quota of one team on virtual time, with a store and a network whose
 * messages take time. Processes can be killed, restarted, frozen and cut off, and the store can be
 * down, lose responses or be restored from an older copy.
 */
final class QuotaFleet {
  private static final Duration STORE_DELAY = Duration.ofMillis(6);
  private static final Duration STORE_TIMEOUT = Duration.ofMillis(800);

  private final VirtualTimerService timer;
  private final RandomGenerator random;
  private final QuotaBounds bounds;
  private final TeamPlan team;
  private final int domains;
  private final int lagMillis;
  private final Map<InstanceId, Process> processes = new TreeMap<>(byName());
  private final Set<InstanceId> registered = new HashSet<>();
  private final Map<String, TableRow> rows = new HashMap<>();
  private final Set<InstanceId> cut = new HashSet<>();
  private final Set<InstanceId> frozen = new HashSet<>();
  private final TreeMap<Long, StoreCopy> copies = new TreeMap<>();
  private BiFunction<InstanceId, EndpointId, OptionalDouble> endpointLimits =
      (instance, endpoint) -> OptionalDouble.empty();
  private long storeVersion;
  private long storeEra = 1;
  private boolean isStoreDown;
  private double lostResponses;

  QuotaFleet(
      VirtualTimerService timer,
      RandomGenerator random,
      QuotaBounds bounds,
      TeamPlan team,
      int domains,
      int lagMillis) {
    this.timer = timer;
    this.random = random;
    this.bounds = bounds;
    this.team = team;
    this.domains = domains;
    this.lagMillis = lagMillis;
    timer.every(Duration.ofMillis(lagMillis), this::announce);
  }

  private static Comparator<InstanceId> byName() {
    return Comparator.comparing(InstanceId::value);
  }

  /** Starts a process of an instance, after any earlier one of it was killed. */
  void start(InstanceId instance) {
    processes.put(instance, new Process(instance));
    if (registered.add(instance)) {
      processes.values().forEach(Process::updateInstances);
    }
  }

  void kill(InstanceId instance) {
    processes.remove(instance);
    frozen.remove(instance);
  }

  /** Stops a process as planned. */
  void stop(InstanceId instance) {
    processes.get(instance).quotas.release();
    kill(instance);
  }

  /** Holds back all timers and messages of a process; those that are due then run late. */
  void freeze(InstanceId instance) {
    frozen.add(instance);
  }

  void wake(InstanceId instance) {
    frozen.remove(instance);
    Optional.ofNullable(processes.get(instance)).ifPresent(Process::catchUp);
  }

  /** Cuts an instance off from the store and from all peers. */
  void cut(InstanceId instance) {
    cut.add(instance);
  }

  void heal() {
    cut.clear();
    isStoreDown = false;
    lostResponses = 0;
  }

  /** Restores the store from its copy of an earlier moment, which starts a new era. */
  void restoreStore(Duration age) {
    Map.Entry<Long, StoreCopy> copy = copies.floorEntry(timer.nanoTime() - age.toNanos());
    rows.clear();
    storeVersion = copy == null ? 0 : copy.getValue().version();
    if (copy != null) {
      rows.putAll(copy.getValue().rows());
    }
    copies.tailMap(timer.nanoTime() - age.toNanos(), false).clear();
    storeEra++;
    copyStore();
  }

  private void copyStore() {
    copies.put(timer.nanoTime(), new StoreCopy(storeVersion, rows));
  }

  /** State of the store at a moment. */
  private record StoreCopy(long version, Map<String, TableRow> rows) {

    private StoreCopy {
      rows = Map.copyOf(rows);
    }
  }

  void setStoreDown(boolean isDown) {
    isStoreDown = isDown;
  }

  void setLostResponses(double share) {
    lostResponses = share;
  }

  List<InstanceId> running() {
    return processes.keySet().stream().filter(each -> !frozen.contains(each)).toList();
  }

  Set<InstanceId> frozen() {
    return Set.copyOf(frozen);
  }

  /** Spends at an instance; the result never completes if its process ends before. */
  CompletableFuture<Optional<Duration>> spend(InstanceId instance, double amount) {
    return processes.get(instance).quotas.spend(team, amount);
  }

  /** Sets the limits that all instances know. */
  void setEndpointLimits(Function<EndpointId, OptionalDouble> limits) {
    setLimitsByInstance((instance, endpoint) -> limits.apply(endpoint));
  }

  /** Sets the limits that each instance knows. */
  void setLimitsByInstance(BiFunction<InstanceId, EndpointId, OptionalDouble> limits) {
    endpointLimits = limits;
  }

  /** Runs a task at an instance: once it wakes if it is frozen, and not at all if it is killed. */
  void runAt(InstanceId instance, Runnable task) {
    Optional.ofNullable(processes.get(instance)).ifPresent(process -> process.run(task));
  }

  /** Returns the permits of an instance. */
  EndpointPermits permits(InstanceId instance) {
    return processes.get(instance).permits;
  }

  int heldSlots(InstanceId instance) {
    return processes.get(instance).quotas.heldSlots().size();
  }

  int heldSlots() {
    return processes.values().stream().mapToInt(each -> each.quotas.heldSlots().size()).sum();
  }

  private void announce() {
    Map<Integer, InstanceId> holders = new HashMap<>();
    processes.forEach(
        (instance, process) -> {
          if (!cut.contains(instance) && !frozen.contains(instance)) {
            process.quotas.heldSlots().forEach(slot -> holders.put(slot, instance));
          }
        });
    timer.after(
        Duration.ofMillis(lagMillis),
        () ->
            processes.forEach(
                (instance, process) -> {
                  Map<Integer, InstanceId> received = new HashMap<>();
                  if (!cut.contains(instance)) {
                    received.putAll(holders);
                    received.values().removeIf(instance::equals);
                  }
                  process.run(() -> process.quotas.setHolders(received));
                }));
  }

  private FleetMember member(InstanceId instance) {
    int number = Integer.parseInt(instance.value().substring(1));
    return new FleetMember(
        instance,
        FailureDomain.of("d" + number % domains),
        new InetSocketAddress("127.0.0.1", 1 + number));
  }

  private final class Process
      implements PeerNetwork, TableReader, ConditionalTableWriter, TimerService {
    private final InstanceId instance;
    private final TeamQuotas quotas;
    private final EraTracker eras = EraTracker.of(this, EventLog.none());
    private final Deque<Runnable> delayed = new ArrayDeque<>();
    private final Map<
            Class<?>, BiFunction<InstanceId, PeerMessage, CompletableFuture<? extends PeerMessage>>>
        handlers = new HashMap<>();
    private final EndpointPermitStock permits;

    Process(InstanceId instance) {
      this.instance = instance;
      this.quotas =
          TeamQuotas.of(
              instance, bounds, name -> team.quota(), this, EventLog.none(), new MetricRegistry());
      eras.observe(storeEra);
      quotas.join(this, Runnable::run, this, this, eras.incarnation(++storeVersion), eras);
      Function<EndpointId, OptionalDouble> limits =
          endpoint -> endpointLimits.apply(instance, endpoint);
      quotas.setEndpointLimits(limits);
      permits = EndpointPermitStock.of(quotas, limits, this, random, () -> {});
      updateInstances();
    }

    void updateInstances() {
      quotas.setInstances(registered.stream().map(QuotaFleet.this::member).toList());
    }

    void run(Runnable task) {
      if (processes.get(instance) != this) {
        return;
      }
      if (frozen.contains(instance)) {
        delayed.add(task);
      } else {
        task.run();
      }
    }

    void catchUp() {
      while (!delayed.isEmpty()) {
        delayed.remove().run();
      }
    }

    @Override
    public CompletableFuture<PeerMessage> call(InstanceId to, PeerMessage message, Duration limit) {
      CompletableFuture<PeerMessage> reply = new CompletableFuture<>();
      timer.after(networkDelay(to), () -> deliver(to, message, reply));
      after(
          limit,
          () ->
              reply.completeExceptionally(
                  Failure.unknown(FailureType.PEER_UNAVAILABLE, "no reply").toException()));
      return reply;
    }

    private void deliver(InstanceId to, PeerMessage message, CompletableFuture<PeerMessage> reply) {
      Process receiver = processes.get(to);
      if (receiver == null || isSeparated(to)) {
        return;
      }
      receiver.run(
          () -> {
            var unused =
                receiver
                    .handlers
                    .get(message.getClass())
                    .apply(instance, message)
                    .thenAccept(
                        answer ->
                            timer.after(
                                networkDelay(to),
                                () -> {
                                  if (!isSeparated(to)) {
                                    run(() -> reply.complete(answer));
                                  }
                                }));
          });
    }

    private boolean isSeparated(InstanceId to) {
      return !to.equals(instance) && (cut.contains(to) || cut.contains(instance));
    }

    private Duration networkDelay(InstanceId to) {
      return Duration.ofNanos(to.equals(instance) ? 0 : 500_000 + random.nextLong(1_500_000));
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
      handlers.put(type, (from, message) -> handles.apply(from, (M) message));
    }

    @Override
    public void setAddress(InstanceId peer, InetSocketAddress address) {}

    @Override
    public CompletableFuture<RowPage> read(String table, Optional<String> after) {
      CompletableFuture<RowPage> result = new CompletableFuture<>();
      if (isStoreUnreachable()) {
        after(
            STORE_TIMEOUT,
            () ->
                result.completeExceptionally(
                    Failure.unknown(FailureType.PLATFORM_UNAVAILABLE, "down").toException()));
      } else {
        RowPage page = new RowPage(List.copyOf(rows.values()), storeVersion, false, storeEra);
        after(
            STORE_DELAY,
            () -> {
              if (eras.observe(page.era())) {
                result.complete(page);
              } else {
                result.completeExceptionally(
                    Failure.unknown(FailureType.PLATFORM_UNAVAILABLE, "old era").toException());
              }
            });
      }
      return result;
    }

    private boolean isStoreUnreachable() {
      return isStoreDown || cut.contains(instance);
    }

    @Override
    public CompletableFuture<RowChanges> changes(String table, long version, Duration maxWait) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<WriteResult> write(String table, Write write) {
      CompletableFuture<WriteResult> result = new CompletableFuture<>();
      boolean isLost = random.nextDouble() < lostResponses;
      if (isStoreUnreachable()) {
        after(STORE_TIMEOUT, () -> result.complete(new WriteResult.Ambiguous("down")));
      } else if (isLost) {
        // The write takes effect later, if its condition still holds then.
        timer.after(Duration.ofMillis(random.nextLong(3_000)), () -> apply(write));
        after(STORE_TIMEOUT, () -> result.complete(new WriteResult.Ambiguous("lost")));
      } else {
        timer.after(
            STORE_DELAY,
            () -> {
              WriteResult applied = apply(write);
              long era = storeEra;
              after(
                  STORE_DELAY,
                  () ->
                      result.complete(
                          eras.observe(era) ? applied : new WriteResult.Ambiguous("old era")));
            });
      }
      return result;
    }

    private WriteResult apply(Write write) {
      TableRow current = rows.get(write.key());
      long expected = write instanceof Write.Replace replace ? replace.version() : 0;
      if ((current == null ? 0 : current.version()) != expected) {
        return new WriteResult.Conflict(
            Optional.ofNullable(current)
                .map(row -> new Row(row.key(), row.version(), new String(row.value(), UTF_8))),
            storeEra);
      }
      String value =
          write instanceof Write.Replace replace ? replace.value() : ((Write.Insert) write).value();
      rows.put(write.key(), new TableRow("", write.key(), value.getBytes(UTF_8), ++storeVersion));
      copyStore();
      return new WriteResult.Applied(storeVersion, storeEra);
    }

    @Override
    public long nanoTime() {
      return timer.nanoTime();
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
      List<Subscription> subscription = new ArrayList<>();
      subscription.add(
          timer.every(
              period,
              () -> {
                if (processes.get(instance) == this || processes.get(instance) == null) {
                  run(task);
                } else {
                  subscription.get(0).cancel();
                }
              }));
      return subscription.get(0);
    }
  }
}
