package org.snipewick.broker;

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
import java.util.OptionalDouble;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;
import org.snipewick.event.EventLog;
import org.snipewick.fleet.FleetMember;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.PoolName;
import org.snipewick.identity.Tier;
import org.snipewick.peer.PeerMessage;
import org.snipewick.peer.PeerNetwork;
import org.snipewick.placement.AttemptResult;
import org.snipewick.placement.EndpointFilter;
import org.snipewick.placement.LocalPlacer;
import org.snipewick.placement.PlacementDecision;
import org.snipewick.placement.PlacementGrant;
import org.snipewick.placement.PlacementListener;
import org.snipewick.placement.PoolPlacement;
import org.snipewick.placement.QueueOrder;
import org.snipewick.placement.RequestPlacer;
import org.snipewick.placement.WaitLimit;
import org.snipewick.placement.WaitingRequest;
import org.snipewick.registry.RegisteredEndpoint;
import org.snipewick.time.TimerService;
import org.snipewick.time.VirtualTimerService;

/**
 * Instances that place requests of one pool on virtual time, with a network whose messages take
 * time, and endpoints that run requests in order of arrival. Processes can be killed, frozen and
 * cut off.
 */
final class BrokerFleet {
  static final PoolName POOL = PoolName.of("planner");
  static final int DOMAINS = 3;
  private static final Duration REPORT_PERIOD = Duration.ofMillis(190);
  private static final Duration REPORT_VALIDITY = Duration.ofMillis(1000);

  /** How requests are placed. */
  enum Mode {
    /** Each instance by itself. */
    ALONE,
    /** By brokers. */
    BROKERS,
    /** By one queue that sees everything, without any delay. */
    ONE_QUEUE
  }

  final VirtualTimerService timer = VirtualTimerService.of(0);
  final List<Request> requests = new ArrayList<>();
  final Map<InstanceId, Process> processes = new HashMap<>();
  final Map<EndpointId, Endpoint> endpoints = new HashMap<>();
  final Set<InstanceId> cut = new HashSet<>();
  final Set<InstanceId> frozen = new HashSet<>();
  private final Mode mode;
  private final SplittableRandom random;
  private final LocalPlacer oneQueue;
  private final List<FleetMember> members = new ArrayList<>();
  List<RegisteredEndpoint> listed = List.of();
  long sentMessages;
  EndpointFilter filter = EndpointFilter.ANY;
  private long nextRequest;

  BrokerFleet(Mode mode, int instances, long seed) {
    this.mode = mode;
    this.random = new SplittableRandom(seed);
    this.oneQueue = LocalPlacer.of(() -> emptyPool(FailureDomain.of("none")), timer);
    for (int index = 0; index < instances; index++) {
      members.add(member(index));
    }
    members.forEach(member -> processes.put(member.instance(), new Process(member)));
    timer.every(REPORT_PERIOD, this::exchangeReports);
  }

  private static FleetMember member(int index) {
    return new FleetMember(
        InstanceId.of("i" + index),
        FailureDomain.of("d" + index % DOMAINS),
        new InetSocketAddress("127.0.0.1", 1 + index),
        OptionalDouble.of(0.25 + index / DOMAINS % 5 * 0.25));
  }

  private PoolPlacement emptyPool(FailureDomain domain) {
    return PoolPlacement.of(
        domain, QueueOrder.byTierOnTimeFirst(), WaitLimit.untilTargetLatency(), random.split());
  }

  /** Adds endpoints, evenly to the domains. */
  void addEndpoints(int count, int slots, double... speeds) {
    List<RegisteredEndpoint> added = new ArrayList<>(listed);
    for (int index = 0; index < count; index++) {
      EndpointId id = EndpointId.of("e" + index);
      FailureDomain domain = FailureDomain.of("d" + index % DOMAINS);
      added.add(new RegisteredEndpoint(id, 1, POOL, domain, "127.0.0.1", 1, slots, false));
      endpoints.put(id, new Endpoint(slots, speeds[index / DOMAINS % speeds.length]));
    }
    listed = added;
    oneQueue.updateEndpoints(listed);
    processes.values().forEach(process -> process.local.updateEndpoints(listed));
  }

  Process process(int index) {
    return processes.get(InstanceId.of("i" + index));
  }

  /** Returns the instance that most others of a domain ask. */
  InstanceId brokerOf(int domain) {
    BrokerCandidates candidates = new BrokerCandidates(members.get(domain));
    candidates.setMembers(members);
    return candidates.of(POOL).get(0);
  }

  void kill(InstanceId instance) {
    Process killed = processes.remove(instance);
    killed.running.values().forEach(request -> endpoints.get(request.endpoint).abort(request));
  }

  void freeze(InstanceId instance) {
    frozen.add(instance);
  }

  void wake(InstanceId instance) {
    frozen.remove(instance);
    processes.get(instance).catchUp();
  }

  /** Sends requests to all living instances for a time; rates may differ between the domains. */
  void load(Duration duration, double perSecond, double workMillis, double... domainShares) {
    List<Process> receivers = List.copyOf(processes.values());
    long endNanos = timer.nanoTime() + duration.toNanos();
    scheduleArrival(receivers, endNanos, perSecond, workMillis, domainShares);
  }

  private void scheduleArrival(
      List<Process> receivers,
      long endNanos,
      double perSecond,
      double workMillis,
      double... domainShares) {
    double gapSeconds = -Math.log(1 - random.nextDouble()) / perSecond;
    timer.after(
        Duration.ofNanos((long) (gapSeconds * 1e9)),
        () -> {
          if (timer.nanoTime() - endNanos < 0) {
            Process receiver = receivers.get(random.nextInt(receivers.size()));
            double share = domainShares[receiver.domainIndex() % domainShares.length];
            if (random.nextDouble() < share) {
              double work = workMillis * (0.5 + random.nextDouble());
              receiver.receive(new Request(nextRequest++, receiver, tier(), work));
            }
            scheduleArrival(receivers, endNanos, perSecond, workMillis, domainShares);
          }
        });
  }

  private Tier tier() {
    return Tier.of(1 + random.nextInt(4));
  }

  private void exchangeReports() {
    Map<InstanceId, Map<EndpointId, Integer>> reports = new HashMap<>();
    processes.forEach(
        (id, process) -> {
          if (!frozen.contains(id) && !cut.contains(id)) {
            reports.put(id, process.local.inFlightByEndpoint());
          }
        });
    timer.after(
        REPORT_PERIOD,
        () -> {
          Map<EndpointId, Integer> sum = new HashMap<>();
          reports.values().forEach(each -> each.forEach((id, n) -> sum.merge(id, n, Integer::sum)));
          processes.forEach(
              (id, process) -> {
                if (!cut.contains(id)) {
                  Map<EndpointId, Integer> others = new HashMap<>(sum);
                  reports
                      .getOrDefault(id, Map.of())
                      .forEach((endpoint, n) -> others.merge(endpoint, -n, Integer::sum));
                  process.run(() -> process.local.setPeersInFlight(others, true, REPORT_VALIDITY));
                }
              });
        });
  }

  /** Returns the requests that all instances together count as in flight. */
  int countedInFlight() {
    return processes.values().stream()
        .flatMap(process -> process.local.inFlightByEndpoint().values().stream())
        .mapToInt(Integer::intValue)
        .sum();
  }

  /** Returns the requests that run or wait at the endpoints. */
  int inFlight() {
    return endpoints.values().stream()
        .mapToInt(each -> each.running.size() + each.queue.size())
        .sum();
  }

  /** Returns the part of the weight of all requests that was answered on time. */
  double worthServed() {
    return worthServed(requests);
  }

  /** Returns the same of the requests that arrived in one domain. */
  double worthServed(int domain) {
    return worthServed(
        requests.stream().filter(each -> each.process.domainIndex() == domain).toList());
  }

  private static double worthServed(List<Request> requests) {
    double all = requests.stream().mapToDouble(Request::worth).sum();
    return requests.stream().filter(Request::isOnTime).mapToDouble(Request::worth).sum() / all;
  }

  /** Request with what became of it. */
  final class Request implements PlacementListener {
    private static final long TARGET_NANOS = 2_000_000_000L;
    private final long id;
    final Process process;
    final Tier tier;
    private final double workMillis;
    final long arrivedNanos = timer.nanoTime();
    int sent;
    boolean isRefused;
    boolean hadRoom;
    long decidedNanos = -1;
    long answeredNanos = -1;
    EndpointId endpoint;
    private PlacementGrant grant;

    private Request(long id, Process process, Tier tier, double workMillis) {
      this.id = id;
      this.process = process;
      this.tier = tier;
      this.workMillis = workMillis;
    }

    double worth() {
      return 1 << (4 - tier.number());
    }

    boolean isOnTime() {
      return answeredNanos >= 0 && answeredNanos - arrivedNanos <= TARGET_NANOS;
    }

    boolean isDecided() {
      return decidedNanos >= 0;
    }

    @Override
    public void onPlaced(PlacementDecision.Placed placed, PlacementGrant given) {
      decidedNanos = timer.nanoTime();
      sent++;
      endpoint = placed.endpoint().id();
      grant = given;
      process.running.put(id, this);
      endpoints.get(endpoint).receive(this);
    }

    @Override
    public void onRefused(PlacementDecision.Refused refused) {
      decidedNanos = timer.nanoTime();
      isRefused = true;
    }
  }

  /** Endpoint that runs requests in order of arrival. */
  final class Endpoint {
    private final int slots;
    private final double speed;
    private final Set<Request> running = new HashSet<>();
    private final Deque<Request> queue = new ArrayDeque<>();
    int receivedBeyondSlots;

    private Endpoint(int slots, double speed) {
      this.slots = slots;
      this.speed = speed;
    }

    private void receive(Request request) {
      if (running.size() >= slots) {
        receivedBeyondSlots++;
        queue.add(request);
      } else {
        start(request);
      }
    }

    private void start(Request request) {
      running.add(request);
      timer.after(Duration.ofNanos((long) (request.workMillis * speed * 1e6)), () -> end(request));
    }

    private void end(Request request) {
      if (!running.remove(request)) {
        return;
      }
      startNext();
      request.process.run(
          () -> {
            long now = timer.nanoTime();
            request.answeredNanos = now;
            request.process.running.remove(request.id);
            request.grant.recordServiceTime(now - request.decidedNanos, now);
            request.grant.end(AttemptResult.ANSWERED, now);
            request.process.placer().decide(POOL);
          });
    }

    private void startNext() {
      if (!queue.isEmpty()) {
        start(queue.remove());
      }
    }

    private void abort(Request request) {
      queue.remove(request);
      if (running.remove(request)) {
        startNext();
      }
    }
  }

  /** Process of an instance. */
  final class Process implements PeerNetwork, TimerService {
    final FleetMember member;
    final LocalPlacer local;
    final BrokeredPlacer brokered;
    private final Map<Long, Request> running = new HashMap<>();
    private final Map<Class<?>, BiConsumer<InstanceId, PeerMessage>> handlers = new HashMap<>();
    private final Deque<Runnable> delayed = new ArrayDeque<>();

    private Process(FleetMember member) {
      this.member = member;
      this.local = LocalPlacer.of(() -> emptyPool(member.domain()), this);
      this.local.setInstances(members.size());
      this.brokered =
          BrokeredPlacer.start(
              member,
              local,
              this,
              Runnable::run,
              this,
              EventLog.none(),
              new MetricRegistry(),
              random.split());
      brokered.setMembers(members);
    }

    int domainIndex() {
      return Integer.parseInt(member.domain().value().substring(1));
    }

    RequestPlacer placer() {
      return switch (mode) {
        case ALONE -> local;
        case BROKERS -> brokered;
        case ONE_QUEUE -> oneQueue;
      };
    }

    void receive(Request request) {
      requests.add(request);
      request.hadRoom =
          endpoints.values().stream().allMatch(each -> each.running.size() < each.slots / 2);
      run(
          () ->
              placer()
                  .place(
                      POOL,
                      new WaitingRequest(
                              Long.toString(request.id),
                              request.tier,
                              request.arrivedNanos,
                              request.arrivedNanos + Request.TARGET_NANOS,
                              request.arrivedNanos + 2 * Request.TARGET_NANOS,
                              0,
                              Set.of())
                          .withFilter(filter),
                      request));
    }

    private void run(Runnable task) {
      if (frozen.contains(member.instance())) {
        delayed.add(task);
      } else if (processes.get(member.instance()) == this) {
        task.run();
      }
    }

    private void catchUp() {
      while (!delayed.isEmpty()) {
        delayed.remove().run();
      }
    }

    @Override
    public void send(InstanceId to, PeerMessage message) {
      sentMessages++;
      timer.after(
          Duration.ofNanos(isLocal(to) ? 300_000 : 1_400_000),
          () -> {
            Process receiver = processes.get(to);
            boolean isCut = cut.contains(to) != cut.contains(member.instance());
            if (receiver != null && !isCut) {
              receiver.run(
                  () ->
                      receiver.handlers.get(message.getClass()).accept(member.instance(), message));
            }
          });
    }

    private boolean isLocal(InstanceId to) {
      return processes.containsKey(to) && processes.get(to).member.domain().equals(member.domain());
    }

    @Override
    public CompletableFuture<PeerMessage> call(InstanceId to, PeerMessage message, Duration limit) {
      return new CompletableFuture<>();
    }

    @Override
    @SuppressWarnings("unchecked")
    public <M extends PeerMessage> void handle(
        Class<M> type,
        BiFunction<InstanceId, M, CompletableFuture<? extends PeerMessage>> handler) {
      handlers.put(
          type,
          (from, message) -> {
            var unused = handler.apply(from, (M) message);
          });
    }

    @Override
    public void setAddress(InstanceId instance, InetSocketAddress address) {}

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
  }
}
