package org.snipewick.rollout;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.snipewick.event.EventLog;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.PoolName;
import org.snipewick.registry.RegisteredEndpoint;
import org.snipewick.store.MirrorListener;
import org.snipewick.store.PollSchedule;
import org.snipewick.store.RowChanges;
import org.snipewick.store.TableMirror;
import org.snipewick.store.TableRow;
import org.snipewick.time.Moment;
import org.snipewick.time.TimerService;
import org.snipewick.time.VirtualTimerService;

/** Instances with rollouts, a store and a pool of endpoints of two versions, in virtual time. */
final class RolloutFleet {
  static final PoolName POOL = PoolName.of("huvo11a");
  static final RolloutBounds BOUNDS = new RolloutBounds(0.1, 50, Duration.ofSeconds(5));
  private static final String[] DOMAINS = {"wien", "linz", "graz"};
  private static final List<String> ROUTES = List.of("read", "search");

  private final VirtualTimerService timer = VirtualTimerService.of(1_800_000_000_000L);
  private final StoreFake store = new StoreFake(timer);
  private final List<Instance> instances = new ArrayList<>();
  private final List<Endpoint> endpoints = new ArrayList<>();
  private final SplittableRandom random;
  private final Map<String, Fault> faults = new HashMap<>();
  private final Map<String, long[]> exposures = new HashMap<>();
  private final Workload workload;
  private long orderNanos;
  private long deadlineNanos = Long.MAX_VALUE;
  private long arrived;
  private int bad;
  private long fiftiethBadNanos = Long.MAX_VALUE;
  private long lastSentToNewNanos;
  private long endNanos;
  private long runningNanos;
  private int onOldAtComplete = -1;
  private long held;
  private long coldUntilNanos;
  private long overloadFromNanos = Long.MAX_VALUE;
  private long overloadUntilNanos;
  private String slowEndpoint = "";
  private String copiedRecord = "";

  RolloutFleet(long seed, int size, Workload workload) {
    this.random = new SplittableRandom(seed);
    this.workload = workload;
    for (int index = 0; index < size; index++) {
      instances.add(new Instance(index));
    }
    instances.forEach(Instance::start);
    scheduleArrival();
    timer.every(Duration.ofMillis(10), this::observeStatus);
  }

  /** Requests per second, mean work, and share of failures of any version. */
  record Workload(double perSecond, Duration work, double failures) {}

  /** Fault of a version: part of its requests fail, or take longer by a factor. */
  record Fault(double part, double slowFactor, Duration after, int minInFlight, String route) {
    static Fault failing(double part) {
      return new Fault(part, 0, Duration.ZERO, 0, "");
    }

    static Fault slow(double part, double factor) {
      return new Fault(part, factor, Duration.ZERO, 0, "");
    }

    Fault startingAfter(Duration delay) {
      return new Fault(part, slowFactor, delay, minInFlight, route);
    }

    Fault underLoad(int inFlight) {
      return new Fault(part, slowFactor, after, inFlight, route);
    }

    Fault onRoute(String only) {
      return new Fault(part, slowFactor, after, minInFlight, only);
    }
  }

  private static final class Endpoint {
    private final RegisteredEndpoint entry;
    private final double speed;
    private int inFlight;
    private long spellUntilNanos;

    private Endpoint(RegisteredEndpoint entry, double speed) {
      this.entry = entry;
      this.speed = speed;
    }
  }

  /** Process of an instance; its clock and timers stand still while it is frozen. */
  private final class Instance implements TimerService {
    private final int index;
    private final Deque<Runnable> deferred = new ArrayDeque<>();
    private Rollouts rollouts;
    private boolean isFrozen;
    private boolean isDead;
    private int onOld;

    private Instance(int index) {
      this.index = index;
    }

    private void start() {
      RolloutStore access = store.access(index);
      rollouts =
          Rollouts.start(
              nameOf(index),
              domainOf(index),
              BOUNDS,
              access,
              this,
              EventLog.none(),
              new MetricRegistry(),
              new SplittableRandom(random.nextLong()));
      TableMirror.start(
          access.reader(),
          Rollouts.RECORD_TABLE,
          new PollSchedule(Duration.ofSeconds(1), Duration.ZERO),
          this,
          EventLog.none(),
          new SplittableRandom(random.nextLong()),
          rollouts.recordListener());
      TableMirror.start(
          access.reader(),
          "op",
          new PollSchedule(Duration.ofSeconds(2), Duration.ZERO),
          this,
          EventLog.none(),
          new SplittableRandom(index),
          new OrderRows());
      Map<InstanceId, FailureDomain> members = new HashMap<>();
      for (int member = 0; member < instances.size(); member++) {
        members.put(nameOf(member), domainOf(member));
      }
      rollouts.setMembers(members);
      rollouts.setEndpoints(entries());
    }

    private final class OrderRows implements MirrorListener {
      private boolean isRestored;

      @Override
      public void onNewEra() {
        isRestored = true;
      }

      @Override
      public void onRows(List<TableRow> rows, Moment sentAt) {
        rows.forEach(
            row -> apply(row, isRestored ? rollouts::setRestoredOrder : rollouts::setOrder));
        if (!isRestored && rows.isEmpty()) {
          rollouts.retainOrders(Set.of());
        }
        isRestored = false;
        rollouts.ordersRead(sentAt);
      }

      @Override
      public void onChanges(RowChanges.Delta changes, Moment sentAt) {
        changes.written().forEach(row -> apply(row, rollouts::setOrder));
        rollouts.ordersRead(sentAt);
      }

      private void apply(TableRow row, Consumer<RolloutOrder> receiver) {
        String[] fields = new String(row.value(), UTF_8).split(" ");
        if (fields.length < 2) {
          rollouts.removeOrder(POOL);
          return;
        }
        Duration duration = Duration.ofMillis(Long.parseLong(fields[1]));
        receiver.accept(new RolloutOrder(POOL, fields[0], duration, row.version()));
      }
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
      return timer.every(period, () -> run(task));
    }

    private void run(Runnable task) {
      if (isFrozen) {
        deferred.add(task);
      } else if (!isDead) {
        task.run();
      }
    }

    private void arrive() {
      if (isDead || isFrozen) {
        return;
      }
      rollouts.countRequest(POOL);
      String route = ROUTES.get(random.nextInt(ROUTES.size()));
      place(route, Optional.empty());
    }

    private void place(String route, Optional<RequestVersion> chosen) {
      RequestVersion version = chosen.orElseGet(() -> rollouts.choose(POOL, route, false));
      if (version.isHeld()) {
        held++;
        after(Duration.ofMillis(20), () -> place(route, Optional.empty()));
        return;
      }
      Optional<Endpoint> free = choose(version);
      if (free.isEmpty()) {
        after(Duration.ofMillis(20), () -> place(route, Optional.of(version)));
        return;
      }
      send(route, version, free.get());
    }

    private Optional<Endpoint> choose(RequestVersion version) {
      List<Endpoint> allowed =
          endpoints.stream()
              .filter(endpoint -> version.filter().allows(endpoint.entry))
              .filter(endpoint -> endpoint.inFlight < endpoint.entry.slots())
              .toList();
      if (allowed.isEmpty()) {
        return Optional.empty();
      }
      Endpoint first = allowed.get(random.nextInt(allowed.size()));
      Endpoint second = allowed.get(random.nextInt(allowed.size()));
      return Optional.of(first.inFlight <= second.inFlight ? first : second);
    }

    private void send(String route, RequestVersion version, Endpoint endpoint) {
      String name = endpoint.entry.version();
      long now = timer.nanoTime();
      version.started(endpoint.entry, now);
      endpoint.inFlight++;
      boolean isOld = name.equals("v1");
      onOld += isOld ? 1 : 0;
      if (!isOld) {
        lastSentToNewNanos = now;
        if (now < deadlineNanos) {
          exposures.computeIfAbsent(name, key -> new long[1])[0]++;
        }
      }
      Outcome outcome = outcomeAt(route, endpoint, now);
      timer.after(
          outcome.time,
          () -> {
            endpoint.inFlight--;
            onOld -= isOld ? 1 : 0;
            countBad(outcome);
            run(() -> complete(version, outcome));
          });
    }

    private void complete(RequestVersion version, Outcome outcome) {
      if (outcome.isFailed) {
        version.failed();
      } else {
        version.responded(timer.nanoTime());
      }
      version.end(timer.nanoTime());
    }
  }

  private record Outcome(Duration time, boolean isFailed, boolean isBad) {}

  private Outcome outcomeAt(String route, Endpoint endpoint, long now) {
    if (endpoint.spellUntilNanos < now && random.nextDouble() < 0.004) {
      endpoint.spellUntilNanos = now + 600_000_000L;
    }
    double factor = (0.7 + 0.6 * random.nextDouble()) * endpoint.speed;
    if (endpoint.spellUntilNanos >= now) {
      factor *= 2.5;
    }
    if (coldUntilNanos > now && endpoint.entry.version().equals("v2")) {
      factor *= 4;
    }
    if (overloadFromNanos <= now && now < overloadUntilNanos) {
      factor *= 4;
    }
    if (slowEndpoint.equals(endpoint.entry.id().value())) {
      factor *= 6;
    }
    boolean isFailed = random.nextDouble() < workload.failures();
    boolean isBad = false;
    Fault fault = faults.get(endpoint.entry.version());
    if (fault != null
        && now - orderNanos >= fault.after().toNanos()
        && endpoint.inFlight >= fault.minInFlight()
        && (fault.route().isEmpty() || fault.route().equals(route))
        && random.nextDouble() < fault.part()) {
      isBad = true;
      isFailed |= fault.slowFactor() == 0;
      factor *= Math.max(1, fault.slowFactor());
    }
    return new Outcome(
        Duration.ofNanos((long) (workload.work().toNanos() * factor)), isFailed, isBad);
  }

  private void countBad(Outcome outcome) {
    if (outcome.isBad() && ++bad == 50) {
      fiftiethBadNanos = timer.nanoTime();
    }
  }

  private void scheduleArrival() {
    double gap = -Math.log(1 - random.nextDouble()) / workload.perSecond();
    timer.after(
        Duration.ofNanos((long) (gap * 1e9)),
        () -> {
          long now = timer.nanoTime();
          arrived += now >= orderNanos && now < deadlineNanos ? 1 : 0;
          instances.get(random.nextInt(instances.size())).arrive();
          scheduleArrival();
        });
  }

  private void observeStatus() {
    String state = status();
    if (state.equals("running") && runningNanos == 0) {
      runningNanos = timer.nanoTime();
    }
    if (endNanos == 0 && (state.equals("complete") || state.equals("rolled_back"))) {
      endNanos = timer.nanoTime();
      onOldAtComplete =
          instances.stream()
              .filter(instance -> !instance.isDead)
              .mapToInt(instance -> instance.onOld)
              .sum();
    }
  }

  /** Returns the state in the status row; empty if there is none. */
  String status() {
    return store
        .value("status", "rollout/" + POOL.value())
        .map(value -> value.replaceAll(".*\"state\":\"([a-z_]+)\".*", "$1"))
        .orElse("");
  }

  void addEndpoints(String version, int count, int slots) {
    for (int index = 0; index < count; index++) {
      EndpointId id = EndpointId.of(version + "-" + index);
      endpoints.add(
          new Endpoint(
              new RegisteredEndpoint(
                  id, 1, POOL, domainOf(index), "127.0.0.1", 1 + index, slots, false, version),
              1));
    }
    listEndpoints();
  }

  void removeEndpoints(String version) {
    endpoints.removeIf(endpoint -> endpoint.entry.version().equals(version));
    listEndpoints();
  }

  private void listEndpoints() {
    instances.forEach(instance -> instance.rollouts.setEndpoints(entries()));
  }

  private List<RegisteredEndpoint> entries() {
    return endpoints.stream().map(endpoint -> endpoint.entry).toList();
  }

  void order(String to, Duration duration) {
    orderNanos = timer.nanoTime();
    deadlineNanos = orderNanos + duration.toNanos();
    arrived = 0;
    endNanos = 0;
    exposures.clear();
    putOrder(to, duration);
  }

  void putOrder(String to, Duration duration) {
    store.put("op", "rollout/" + POOL.value(), (to + " " + duration.toMillis()).getBytes(UTF_8));
  }

  void copyRecord() {
    copiedRecord = store.value(RolloutRecord.TABLE, POOL.value()).orElseThrow();
  }

  /** Replaces the record by the copy, as a store does that is restored. */
  void restoreRecord() {
    store.put(RolloutRecord.TABLE, POOL.value(), copiedRecord.getBytes(UTF_8));
  }

  void withdrawOrder() {
    store.put("op", "rollout/" + POOL.value(), "none".getBytes(UTF_8));
  }

  void setFault(String version, Fault fault) {
    faults.put(version, fault);
  }

  void setColdStart(Duration duration) {
    coldUntilNanos = timer.nanoTime() + duration.toNanos();
  }

  void setOverload(Duration after, Duration duration) {
    overloadFromNanos = timer.nanoTime() + after.toNanos();
    overloadUntilNanos = overloadFromNanos + duration.toNanos();
  }

  void setSlowEndpoint(String id) {
    slowEndpoint = id;
  }

  void advance(Duration duration) {
    timer.advance(duration);
  }

  void after(Duration delay, Runnable task) {
    timer.after(delay, task);
  }

  StoreFake store() {
    return store;
  }

  /** Ends the process of an instance; requests that it has in flight end with it. */
  void kill(int index) {
    instances.get(index).isDead = true;
  }

  void restart(int index) {
    kill(index);
    Instance fresh = new Instance(index);
    instances.set(index, fresh);
    fresh.start();
  }

  void freeze(int index) {
    instances.get(index).isFrozen = true;
  }

  void thaw(int index) {
    Instance instance = instances.get(index);
    instance.isFrozen = false;
    List<Runnable> tasks = List.copyOf(instance.deferred);
    instance.deferred.clear();
    tasks.forEach(instance::run);
  }

  /** Runs a task once the record of the order is in a phase. */
  void whenInPhase(RolloutPhase phase, Runnable task) {
    if (store
        .value(RolloutRecord.TABLE, POOL.value())
        .map(row -> row.contains("\"" + phase + "\""))
        .orElse(false)) {
      task.run();
    } else {
      timer.after(Duration.ofMillis(1), () -> whenInPhase(phase, task));
    }
  }

  /** Returns the instances that decide. */
  List<Integer> deciders() {
    List<Integer> found = new ArrayList<>();
    for (Instance instance : instances) {
      if (!instance.isDead && instance.rollouts.isDecidingFor(POOL)) {
        found.add(instance.index);
      }
    }
    return found;
  }

  long exposed(String version) {
    return exposures.getOrDefault(version, new long[1])[0];
  }

  double allowedExposure() {
    return BOUNDS.share() * arrived + BOUNDS.slack();
  }

  Duration timeToEnd() {
    return Duration.ofNanos(endNanos - orderNanos);
  }

  Duration timeToRunning() {
    return Duration.ofNanos(runningNanos - orderNanos);
  }

  /** Returns the time from the 50th bad response to the last request that was sent to it. */
  Duration sentAfterFiftiethBad() {
    return bad < 50
        ? Duration.ZERO
        : Duration.ofNanos(Math.max(0, lastSentToNewNanos - fiftiethBadNanos));
  }

  int onOldAtComplete() {
    return onOldAtComplete;
  }

  /** Returns the time from the order to the last request that was sent to a new version. */
  Duration lastSentToNew() {
    return Duration.ofNanos(lastSentToNewNanos - orderNanos);
  }

  long held() {
    return held;
  }

  private static InstanceId nameOf(int index) {
    return InstanceId.of("front-" + index);
  }

  private static FailureDomain domainOf(int index) {
    return FailureDomain.of(DOMAINS[index % DOMAINS.length]);
  }
}
