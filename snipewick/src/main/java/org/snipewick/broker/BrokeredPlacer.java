package org.snipewick.broker;

import static java.util.Objects.requireNonNull;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.fleet.FleetMember;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.PoolName;
import org.snipewick.peer.PeerMessage;
import org.snipewick.peer.PeerNetwork;
import org.snipewick.placement.LocalPlacer;
import org.snipewick.placement.PlacementDecision;
import org.snipewick.placement.PlacementListener;
import org.snipewick.placement.PoolPlacement;
import org.snipewick.placement.RequestPlacer;
import org.snipewick.placement.WaitingRequest;
import org.snipewick.registry.RegisteredEndpoint;
import org.snipewick.time.TimerService;

/**
 * Lets the broker of the failure domain place requests in a large fleet, and places them by the
 * queues of this instance in a small one, as the broker itself, and while the broker does not
 * reply. Requests that are restricted to some endpoints are placed by the queues of this instance,
 * as the restriction is not sent to the broker. Not thread-safe: all calls must run on one thread.
 */
public final class BrokeredPlacer implements RequestPlacer {
  /**
   * Time after which a request is placed here if the broker has not replied. A reply takes one or
   * two milliseconds; a process that has used up its CPU quota stalls for up to 100 ms.
   */
  private static final Duration REPLY_TIMEOUT = Duration.ofMillis(40);

  /** Delay of a timer from which on this process counts as stalled. */
  private static final Duration STALL = Duration.ofMillis(10);

  /** Silence after which requests that wait at the broker are placed here. */
  private static final Duration QUEUE_TIMEOUT = Duration.ofMillis(400);

  /** Silence after which the next candidate becomes the broker; ten stalls in succession. */
  private static final Duration BROKER_TIMEOUT = Duration.ofSeconds(1);

  private static final Duration CHECK_PERIOD = Duration.ofMillis(100);

  /** Time between queries while requests wait at the broker. */
  private static final Duration QUEUE_QUERY_PERIOD = Duration.ofMillis(200);

  /** Time between queries while requests run that the broker has placed. */
  private static final Duration QUERY_PERIOD = Duration.ofSeconds(1);

  private final FleetMember self;
  private final LocalPlacer local;
  private final PeerNetwork network;
  private final TimerService timer;
  private final EventLog events;
  private final RandomGenerator random;
  private final Broker broker;
  private final BrokerChoices choices;
  private final Counter brokeredRequests;
  private final Counter fallbacks;
  private final Counter unusedGrants;
  private final Map<InstanceId, BrokerLink> links = new HashMap<>();
  private final Map<String, PendingRequest> pending = new HashMap<>();
  private final Map<String, BrokerLink> pendingLinks = new HashMap<>();
  private Set<InstanceId> members = Set.of();
  private long nextId;

  private BrokeredPlacer(
      FleetMember self,
      LocalPlacer local,
      PeerNetwork network,
      TimerService timer,
      EventLog events,
      MetricRegistry metrics,
      RandomGenerator random) {
    this.self = requireNonNull(self, "self");
    this.local = requireNonNull(local, "local");
    this.network = requireNonNull(network, "network");
    this.timer = requireNonNull(timer, "timer");
    this.events = requireNonNull(events, "events");
    this.random = requireNonNull(random, "random");
    this.broker = new Broker(local, timer, events, random, network::send);
    this.choices = new BrokerChoices(self, timer, events);
    this.brokeredRequests = metrics.counter("broker_requests");
    this.fallbacks = metrics.counter("broker_fallbacks");
    this.unusedGrants = metrics.counter("broker_unused_grants");
    metrics.gauge("broker_requesters", () -> broker::requesters);
  }

  /**
   * Starts to place requests, and to place those of peers that ask this instance.
   *
   * @param self this instance
   * @param local queues of this instance
   * @param network connections to peers, whose handlers of the messages of brokers are set
   * @param executor executor that runs tasks on the thread of the placer
   * @param timer source of time
   * @param events event log
   * @param metrics metrics of the instance
   * @param random source of randomness for the numbers of sessions
   * @return placer without peers
   */
  public static BrokeredPlacer start(
      FleetMember self,
      LocalPlacer local,
      PeerNetwork network,
      Executor executor,
      TimerService timer,
      EventLog events,
      MetricRegistry metrics,
      RandomGenerator random) {
    BrokeredPlacer placer =
        new BrokeredPlacer(self, local, network, timer, events, metrics, random);
    placer.handle(BrokerMessages.ToBroker.class, executor, placer.broker::onMessage);
    placer.handle(BrokerMessages.FromBroker.class, executor, placer::onReply);
    timer.every(CHECK_PERIOD, placer::check);
    return placer;
  }

  private <T extends PeerMessage> void handle(
      Class<T> type, Executor executor, BiConsumer<InstanceId, T> handler) {
    network.handle(
        type,
        (from, message) -> {
          executor.execute(() -> handler.accept(from, message));
          return CompletableFuture.completedFuture(null);
        });
  }

  /**
   * Sets the registered instances.
   *
   * @param registered all instances, of which this one may be missing
   */
  public void setMembers(List<FleetMember> registered) {
    choices.setMembers(registered);
    broker.setBrokers(choices.candidates().domains());
    Set<InstanceId> before = members;
    Set<InstanceId> current = new HashSet<>();
    registered.forEach(member -> current.add(member.instance()));
    members = current;
    before.stream().filter(instance -> !current.contains(instance)).forEach(this::removeMember);
  }

  private void removeMember(InstanceId instance) {
    broker.remove(instance);
    BrokerLink link = links.remove(instance);
    if (link != null) {
      abandon(link, EventType.BROKER_SESSION_LOST);
    }
  }

  /** Stops to place the requests of peers, which place them themselves or ask another broker. */
  public void stop() {
    broker.stop();
  }

  @Override
  public void place(PoolName pool, WaitingRequest request, PlacementListener listener) {
    InstanceId chosen = choices.of(pool);
    if (chosen.equals(self.instance())) {
      BrokerCandidates candidates = choices.candidates();
      if (candidates.areShared()) {
        local.pool(pool).setBrokers(candidates.domains());
      } else {
        local.pool(pool).setInstances(candidates.instances());
      }
      local.place(pool, request, listener);
      return;
    }
    if (!local.pool(pool).isUnrestrictedBy(request.filter())) {
      // The broker does not know the filter and might grant an endpoint that it excludes.
      placeByOwnQueue(pool, request, listener);
      return;
    }
    BrokerLink link = link(chosen);
    if (link.isSuspected()) {
      placeHere(pool, request, listener);
      return;
    }
    ask(link, new PendingRequest(nextId++, pool, request, listener));
  }

  private void ask(BrokerLink link, PendingRequest asked) {
    brokeredRequests.inc();
    pending.put(asked.request().id(), asked);
    pendingLinks.put(asked.request().id(), link);
    awaitReply(link, asked, REPLY_TIMEOUT);
    link.ask(asked);
  }

  private void awaitReply(BrokerLink link, PendingRequest asked, Duration timeout) {
    long dueNanos = timer.nanoTime() + timeout.toNanos();
    asked.setReplyTimer(timer.after(timeout, () -> onReplyTimeout(link, asked, dueNanos)));
  }

  private BrokerLink link(InstanceId instance) {
    return links.computeIfAbsent(
        instance,
        peer -> new BrokerLink(peer, timer, random, message -> network.send(peer, message)));
  }

  private void placeByOwnQueue(PoolName pool, WaitingRequest request, PlacementListener listener) {
    local.pool(pool).setInstances(choices.candidates().instances());
    local.place(pool, request, listener);
  }

  /** Places a request by the queue of this instance, which the broker should have placed. */
  private void placeHere(PoolName pool, WaitingRequest request, PlacementListener listener) {
    fallbacks.inc();
    placeByOwnQueue(pool, request, listener);
  }

  private void placeHere(PendingRequest request) {
    forget(request);
    placeHere(request.pool(), request.request(), request.listener());
  }

  private void forget(PendingRequest request) {
    pending.remove(request.request().id());
    pendingLinks.remove(request.request().id());
  }

  private void onReplyTimeout(BrokerLink link, PendingRequest request, long dueNanos) {
    if (timer.nanoTime() - dueNanos > STALL.toNanos()) {
      // This process has stalled, and the reply may wait to be read.
      awaitReply(link, request, STALL);
    } else if (link.withdraw(request)) {
      link.suspect();
      placeHere(request);
    }
  }

  @Override
  public void withdraw(PoolName pool, String requestId) {
    PendingRequest request = pending.get(requestId);
    if (request == null) {
      local.withdraw(pool, requestId);
    } else {
      pendingLinks.get(requestId).withdraw(request);
      forget(request);
    }
  }

  @Override
  public void decide(PoolName pool) {
    local.decide(pool);
  }

  private void onReply(InstanceId from, BrokerMessages.FromBroker reply) {
    BrokerLink link = link(from);
    if (reply.epoch() != link.epoch()) {
      // It belongs to what was given up before; the broker drops it with the next message.
      return;
    }
    if (reply.session() == BrokerMessages.NO_SESSION) {
      decline(link);
      return;
    }
    choices.onReply(from);
    BrokerLink.Continuity continuity = link.onReply(reply);
    if (continuity == BrokerLink.Continuity.FORGOTTEN) {
      recordLoss(EventType.BROKER_SESSION_LOST, link, link.adoptGrants());
    }
    reply.queued().forEach(link::confirmQueued);
    reply.grants().forEach(grant -> accept(link, grant));
    reply.refusals().forEach(refusal -> refuse(link, refusal));
    if (continuity == BrokerLink.Continuity.FORGOTTEN) {
      link.takeAllPending().forEach(this::placeHere);
    } else if (continuity == BrokerLink.Continuity.MESSAGES_LOST) {
      // A lost message may have held grants, which the broker counts in vain.
      abandon(link, EventType.BROKER_SESSION_LOST);
    }
  }

  private void accept(BrokerLink link, BrokerMessages.Grant granted) {
    Optional<PendingRequest> found = link.takePending(granted.id());
    if (found.isEmpty()) {
      // The request was withdrawn or placed here meanwhile, and must not be sent again.
      unusedGrants.inc();
      link.returnUnused(granted.id());
      return;
    }
    PendingRequest request = found.get();
    PoolPlacement pool = local.pool(request.pool());
    Optional<RegisteredEndpoint> endpoint =
        pool.findAccepting(granted.endpoint(), request.request());
    // A broker that has just started may not know a limit that this instance was told.
    boolean isUnpermitted = pool.needsPermit(granted.endpoint()) && !granted.isPermitted();
    if (endpoint.isEmpty() || isUnpermitted) {
      unusedGrants.inc();
      link.returnUnused(granted.id());
      placeHere(request);
      return;
    }
    forget(request);
    BrokeredGrant grant =
        new BrokeredGrant(
            granted.id(),
            link,
            pool,
            granted.endpoint(),
            request.request().promptTokens(),
            timer.nanoTime());
    link.begin(grant);
    request
        .listener()
        .onPlaced(
            new PlacementDecision.Placed(
                request.request(), endpoint.get(), granted.inFlight(), granted.waiting()),
            grant);
  }

  private void refuse(BrokerLink link, BrokerMessages.Refusal refusal) {
    link.takePending(refusal.id())
        .ifPresent(
            request -> {
              if (refusal.reason() == PlacementDecision.Reason.NO_ENDPOINT) {
                // The lists of endpoints may differ for a moment; if not, this one refuses too.
                placeHere(request);
              } else {
                forget(request);
                request
                    .listener()
                    .onRefused(
                        new PlacementDecision.Refused(
                            request.request(),
                            refusal.reason(),
                            Duration.ofMillis(refusal.retryAfterMillis())));
              }
            });
  }

  /** Handles that a broker stops: its requests are counted here and others are asked. */
  private void decline(BrokerLink link) {
    abandon(link, EventType.BROKER_SESSION_LOST);
    choices.replace(link.broker());
  }

  private void check() {
    List.copyOf(links.values()).forEach(this::check);
    choices.preferredToRetry().forEach(preferred -> link(preferred).query());
    choices.recordChanges();
  }

  private void check(BrokerLink link) {
    if (link.silentNanos() > BROKER_TIMEOUT.toNanos()) {
      abandon(link, EventType.BROKER_SILENT);
      choices.replace(link.broker());
      link.suspect();
    } else if (link.silentNanos() > QUEUE_TIMEOUT.toNanos()) {
      link.suspect();
      link.takeAllPending().forEach(this::placeHere);
    }
    // A renewal tells the broker, once it can be reached, that it holds nothing for this instance.
    boolean isAwaited =
        link.hasPending()
            || link.isRenewing()
            || link.isSuspected() && choices.isChosen(link.broker());
    Duration period = isAwaited ? QUEUE_QUERY_PERIOD : QUERY_PERIOD;
    if ((isAwaited || link.isUsed()) && link.sinceQueryNanos() >= period.toNanos()) {
      link.query();
    }
  }

  /** Takes back all that a broker was asked for and has placed. */
  private void abandon(BrokerLink link, EventType cause) {
    if (!link.isUsed() && !link.hasSession()) {
      link.stopAwaiting();
      return;
    }
    List<PendingRequest> requests = link.takeAllPending();
    int adopted = link.adoptGrants();
    link.renew();
    recordLoss(cause, link, adopted);
    requests.forEach(this::placeHere);
  }

  private void recordLoss(EventType cause, BrokerLink link, int adopted) {
    events.record(cause, link.broker().value(), Map.of("adopted", adopted));
  }
}
