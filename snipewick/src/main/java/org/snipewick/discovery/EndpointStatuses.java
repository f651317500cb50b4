package org.snipewick.discovery;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.snipewick.catalogue.Catalogue;
import org.snipewick.catalogue.CatalogueSource;
import org.snipewick.catalogue.Entry;
import org.snipewick.endpoint.ScheduledEndpoints;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.PoolName;
import org.snipewick.identity.Tier;
import org.snipewick.membership.Membership;
import org.snipewick.membership.MembershipView;
import org.snipewick.pool.EndpointStatus;
import org.snipewick.pool.Schedulers;
import org.snipewick.store.ListedInstance;
import org.snipewick.time.TimerService;

/**
 * Joins what the platform's list, the catalogue and the endpoints' own reports say of the endpoints
 * that this instance schedules. All state lives on the timer's thread.
 */
public final class EndpointStatuses implements ScheduledEndpoints {
  private final Membership membership;
  private final CatalogueSource catalogue;
  private final EndpointSink sink;
  private final TimerService timer;
  private final Map<PoolName, List<ListedInstance>> listed = new HashMap<>();
  private final Map<EndpointId, EndpointStatus> reported = new HashMap<>();
  private volatile Map<EndpointId, EndpointStatus> scheduled = Map.of();
  private volatile Map<PoolName, Map<EndpointId, EndpointStatus>> byPool = Map.of();

  private EndpointStatuses(
      Membership membership, CatalogueSource catalogue, EndpointSink sink, TimerService timer) {
    this.membership = requireNonNull(membership, "membership");
    this.catalogue = requireNonNull(catalogue, "catalogue");
    this.sink = requireNonNull(sink, "sink");
    this.timer = requireNonNull(timer, "timer");
  }

  /**
   * Starts to listen for endpoints.
   *
   * @param membership who schedules which pool
   * @param catalogue what operators say of endpoints
   * @param directory what the platform lists
   * @param sink gets each change
   * @param timer runs all changes on its thread
   * @return running join
   */
  public static EndpointStatuses start(
      Membership membership,
      CatalogueSource catalogue,
      EndpointDirectory directory,
      EndpointSink sink,
      TimerService timer) {
    EndpointStatuses statuses = new EndpointStatuses(membership, catalogue, sink, timer);
    directory.subscribe(statuses::onList);
    catalogue.subscribe(changed -> timer.after(Duration.ZERO, statuses::publishAll));
    membership.subscribe((before, after) -> timer.after(Duration.ZERO, statuses::rebuildScheduled));
    return statuses;
  }

  /**
   * Takes an endpoint's own report.
   *
   * @param status what the endpoint reported, on any thread
   */
  public void report(EndpointStatus status) {
    timer.after(
        Duration.ZERO,
        () -> {
          EndpointStatus before = reported.put(status.id(), status);
          if (scheduled.containsKey(status.id())) {
            sink.reported(status.id());
          }
          if (!status.equals(before)) {
            publish(status.id());
          }
        });
  }

  /**
   * Finds an endpoint of a pool in the own failure domain.
   *
   * @param pool model or service
   * @param id endpoint
   * @return its status by list and catalogue, empty if it is not listed in that pool
   */
  public Optional<EndpointStatus> find(PoolName pool, EndpointId id) {
    return Optional.ofNullable(byPool.getOrDefault(pool, Map.of()).get(id));
  }

  @Override
  public Collection<EndpointStatus> current() {
    return scheduled.values();
  }

  private void onList(PoolEndpoints message) {
    List<ListedInstance> before = listed.getOrDefault(message.pool(), List.of());
    Set<String> gone =
        before.stream().map(ListedInstance::id).collect(Collectors.toCollection(HashSet::new));
    message.endpoints().forEach(instance -> gone.remove(instance.id()));
    listed.put(message.pool(), message.endpoints());
    for (String id : gone) {
      reported.remove(EndpointId.of(id));
      sink.removed(message.pool(), EndpointId.of(id));
    }
    publish(message.pool());
    rebuildScheduled();
  }

  private void publishAll() {
    Set.copyOf(listed.keySet()).forEach(this::publish);
    rebuildScheduled();
  }

  private void publish(PoolName pool) {
    listed
        .getOrDefault(pool, List.of())
        .forEach(instance -> sink.changed(pool, join(pool, instance)));
  }

  private void publish(EndpointId id) {
    listed.forEach(
        (pool, instances) ->
            instances.stream()
                .filter(instance -> instance.id().equals(id.value()))
                .forEach(instance -> sink.changed(pool, join(pool, instance))));
  }

  private void rebuildScheduled() {
    MembershipView view = membership.view();
    Map<PoolName, Map<EndpointId, EndpointStatus>> known = new HashMap<>();
    Map<EndpointId, EndpointStatus> result = new HashMap<>();
    listed.forEach(
        (pool, instances) -> {
          Map<EndpointId, EndpointStatus> endpoints = new HashMap<>();
          instances.forEach(
              instance -> endpoints.put(EndpointId.of(instance.id()), base(pool, instance)));
          known.put(pool, Map.copyOf(endpoints));
          if (isScheduledHere(view, pool)) {
            result.putAll(endpoints);
          }
        });
    byPool = Map.copyOf(known);
    reported.keySet().retainAll(result.keySet());
    scheduled = Map.copyOf(result);
  }

  private static boolean isScheduledHere(MembershipView view, PoolName pool) {
    return Schedulers.of(view, view.ownDomain(), pool)
        .filter(holder -> holder.equals(view.self()))
        .isPresent();
  }

  private EndpointStatus join(PoolName pool, ListedInstance instance) {
    EndpointStatus base = base(pool, instance);
    EndpointStatus report = reported.get(base.id());
    if (report == null) {
      return base;
    }
    boolean leaving = base.state() == EndpointStatus.State.LEAVING;
    return new EndpointStatus(
        base.id(),
        base.host(),
        base.port(),
        leaving ? base.state() : report.state(),
        base.lowestTier(),
        smallerKnown(base.maxInFlight(), report.maxInFlight()),
        report.cacheTokens(),
        report.reportedRunning(),
        report.reportedQueued(),
        report.reportedKvTokens(),
        report.maxKvTokens());
  }

  private EndpointStatus base(PoolName pool, ListedInstance instance) {
    Catalogue current = catalogue.current();
    var entry = current.find(Entry.Endpoint.class, instance.id());
    boolean leaving =
        instance.state() == ListedInstance.State.LEAVING
            || entry.map(Entry.Endpoint::drained).orElse(false);
    return new EndpointStatus(
        EndpointId.of(instance.id()),
        instance.host(),
        instance.port(),
        leaving ? EndpointStatus.State.LEAVING : EndpointStatus.State.LIVE,
        entry.map(Entry::tier).orElse(Tier.FOUR),
        current
            .find(Entry.Service.class, pool.value())
            .map(Entry.Service::inFlightPerEndpoint)
            .orElse(0),
        0,
        -1,
        -1,
        -1,
        0);
  }

  private static int smallerKnown(int one, int other) {
    return one == 0 || other == 0 ? Math.max(one, other) : Math.min(one, other);
  }
}
