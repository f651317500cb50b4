package org.snipewick.quota;

import static java.util.Objects.requireNonNull;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Function;
import org.snipewick.event.EventLog;
import org.snipewick.fleet.FleetMember;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.TeamName;
import org.snipewick.peer.PeerNetwork;
import org.snipewick.route.TeamPlan;
import org.snipewick.route.TeamQuota;
import org.snipewick.store.ConditionalTableWriter;
import org.snipewick.store.EraTracker;
import org.snipewick.store.TableReader;
import org.snipewick.time.TimerService;

/**
 * Quotas of teams over all instances. Every quota is divided into slots, whose holders grant parts
 * of it; nothing is spent that was not granted. Not thread-safe.
 */
public final class TeamQuotas {
  /** Time after which an instance is ready although it knows no holder of a slot. */
  private static final Duration MAX_STARTUP = Duration.ofSeconds(3);

  /** Time after which a permit is requested again before the instance has joined its peers. */
  private static final Duration NOT_JOINED_RETRY = Duration.ofMillis(500);

  private final InstanceId self;
  private final long createdNanos;
  private final QuotaBounds bounds;
  private final Function<TeamName, TeamQuota> quotas;
  private final TimerService timer;
  private final EventLog events;
  private final QuotaMetrics metrics;
  private final SlotHolder holder;
  private final Map<String, QuotaQueue> queues = new HashMap<>();
  private Optional<QuotaSlots> slots = Optional.empty();
  private Optional<QuotaPeers> peers = Optional.empty();
  private Optional<PermitPeers> permitPeers = Optional.empty();
  private Function<EndpointId, OptionalDouble> endpointLimits = endpoint -> OptionalDouble.empty();
  private int instances = 1;

  private TeamQuotas(
      InstanceId self,
      QuotaBounds bounds,
      Function<TeamName, TeamQuota> quotas,
      TimerService timer,
      EventLog events,
      MetricRegistry metrics) {
    this.self = requireNonNull(self, "self");
    this.bounds = requireNonNull(bounds, "bounds");
    this.quotas = requireNonNull(quotas, "quotas");
    this.timer = requireNonNull(timer, "timer");
    this.events = requireNonNull(events, "events");
    this.createdNanos = timer.nanoTime();
    this.metrics = new QuotaMetrics(metrics, this::heldSlots, this::maxGrantedPercent);
    this.holder =
        new SlotHolder(
            () -> slots.map(QuotaSlots::held).orElse(Map.of()).values(), this::slotCapacity);
  }

  /**
   * Creates the quotas of an instance that has not joined its peers yet.
   *
   * @param self this instance
   * @param bounds accuracy with which quotas must be enforced
   * @param quotas quota of each team in the current plan; unlimited for an unknown team
   * @param timer source of time, on whose thread all calls must be made
   * @param events log to which acquired and lost slots are written
   * @param metrics registry of the metrics
   * @return quotas, which grant nothing before {@link #join}
   */
  public static TeamQuotas of(
      InstanceId self,
      QuotaBounds bounds,
      Function<TeamName, TeamQuota> quotas,
      TimerService timer,
      EventLog events,
      MetricRegistry metrics) {
    return new TeamQuotas(self, bounds, quotas, timer, events, metrics);
  }

  /**
   * Joins the peers and starts to acquire slots.
   *
   * @param network connections to the peers, whose handler of requests for grants is set
   * @param executor executor that runs tasks on the thread of the quotas
   * @param reader reads the rows of the slots
   * @param writer writes them
   * @param incarnation number of this process, higher than that of any earlier one
   * @param eras eras of the store, which must include those of all its responses
   */
  public void join(
      PeerNetwork network,
      Executor executor,
      TableReader reader,
      ConditionalTableWriter writer,
      long incarnation,
      EraTracker eras) {
    QuotaSlots started =
        QuotaSlots.start(
            self,
            bounds.window(),
            reader,
            writer,
            timer,
            events,
            this::slotCapacity,
            incarnation,
            eras);
    slots = Optional.of(started);
    peers =
        Optional.of(
            QuotaPeers.start(self, network, executor, timer, holder, started::recordIfNeeded));
    permitPeers =
        Optional.of(
            PermitPeers.start(
                network,
                executor,
                timer,
                started::held,
                endpoint -> endpointLimits.apply(endpoint)));
  }

  /**
   * Spends an amount if the quota allows it.
   *
   * @param team team with its quota
   * @param amount amount to spend, in the unit of the quota
   * @return empty once the amount was spent; otherwise the time after which a retry is likely to
   *     succeed. Never fails
   */
  public CompletableFuture<Optional<Duration>> spend(TeamPlan team, double amount) {
    String key = team.name().value();
    if (amount <= 0 || holder.trySpend(key, amount, timer.nanoTime())) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    return queues
        .computeIfAbsent(key, name -> new QuotaQueue(name, timer, () -> peers, metrics))
        .spend(amount);
  }

  /**
   * Sets the source of the limits that endpoints have named. A permit is granted by the lower one
   * of this limit and that of the instance which requests it.
   *
   * @param limits requests per second by endpoint; empty for an endpoint without a limit
   */
  public void setEndpointLimits(Function<EndpointId, OptionalDouble> limits) {
    endpointLimits = requireNonNull(limits, "limits");
  }

  /** Requests a permit for one request to an endpoint with a limit. */
  void requestPermit(EndpointId endpoint, double limit, Consumer<PermitResult> onResult) {
    permitPeers.ifPresentOrElse(
        started -> started.request(endpoint, limit, onResult),
        () -> onResult.accept(new PermitResult(false, timer.nanoTime(), NOT_JOINED_RETRY)));
  }

  QuotaMetrics metrics() {
    return metrics;
  }

  /** Returns the number of registered instances. */
  int instances() {
    return instances;
  }

  /**
   * Sets the registered instances.
   *
   * @param members all instances, this one included
   */
  public void setInstances(List<FleetMember> members) {
    instances = Math.max(1, members.size());
    List<FleetMember> sorted = new ArrayList<>(members);
    sorted.sort(
        Comparator.comparing((FleetMember member) -> member.domain().value())
            .thenComparing(member -> member.instance().value()));
    slots.ifPresent(
        started -> started.setInstances(sorted.stream().map(FleetMember::instance).toList()));
    peers.ifPresent(started -> started.setInstances(sorted));
  }

  /**
   * Sets the holders of the slots.
   *
   * @param holders peers that hold slots at present, by the number of the slot
   */
  public void setHolders(Map<Integer, InstanceId> holders) {
    slots.ifPresent(started -> started.setAnnounced(holders.keySet()));
    permitPeers.ifPresent(started -> started.setHolders(holders));
    Set<InstanceId> all = new HashSet<>(holders.values());
    if (!heldSlots().isEmpty()) {
      all.add(self);
    }
    peers.ifPresent(started -> started.setHolders(all));
  }

  /**
   * Returns the slots that this instance holds.
   *
   * @return numbers of the slots
   */
  public Set<Integer> heldSlots() {
    return slots.map(started -> started.held().keySet()).orElse(Set.of());
  }

  /**
   * Returns whether requests of teams can be served.
   *
   * @return whether the holder of a slot is known, or none is found for some seconds
   */
  public boolean isReady() {
    return peers.filter(started -> !started.holders().isEmpty()).isPresent()
        || timer.nanoTime() - createdNanos >= MAX_STARTUP.toNanos();
  }

  /** Releases the slots of this instance before a planned stop. */
  public void release() {
    slots.ifPresent(QuotaSlots::release);
  }

  private double slotCapacity(String key) {
    TeamQuota quota = quotas.apply(TeamName.of(key));
    return quota.isLimited() ? bounds.limit(quota) / QuotaSlots.COUNT : 0;
  }

  /** Returns the highest share of a limit that is granted, in percent of the held slots. */
  private long maxGrantedPercent() {
    long now = timer.nanoTime();
    double max = 0;
    for (SlotGrants slot : slots.map(QuotaSlots::held).orElse(Map.of()).values()) {
      for (String key : slot.keys(now)) {
        double capacity = slotCapacity(key);
        max = Math.max(max, capacity > 0 ? slot.granted(key, capacity, now) / capacity : 0);
      }
    }
    return Math.round(100 * max);
  }
}
