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
 * Statuses of the endpoints of the local failure domain, merged from the platform's list, the
 * catalogue and the load reports of endpoints. All state is changed on the timer's thread; {@link
 * #find} and {@link #current} may be called from any thread.
 */
public final class EndpointStatuses implements ScheduledEndpoints {
  private final Membership membership;
  private final CatalogueSource catalogue;
  private final EndpointListener listener;
  private final TimerService timer;
  private final Map<PoolName, List<ListedInstance>> listed = new HashMap<>();
  private final Map<EndpointId, EndpointStatus> reported = new HashMap<>();
  private volatile Map<EndpointId, EndpointStatus> scheduled = Map.of();
  private volatile Map<PoolName, Map<EndpointId, EndpointStatus>> byPool = Map.of();

  private EndpointStatuses(
      Membership membership,
      CatalogueSource catalogue,
      EndpointListener listener,
      TimerService timer) {
    this.membership = requireNonNull(membership, "membership");
    this.catalogue = requireNonNull(catalogue, "catalogue");
    this.listener = requireNonNull(listener, "listener");
    this.timer = requireNonNull(timer, "timer");
  }

  /**
   * Creates the statuses and subscribes to their sources.
   *
   * @param membership membership, which determines the instance that schedules each pool
   * @param catalogue catalogue with the operators' settings of endpoints and services
   * @param directory directory of the listed endpoints
   * @param listener receives each change, on the timer's thread
   * @param timer timer, on whose thread all state is changed
   * @return statuses, updated with each change of their sources
   */
  public static EndpointStatuses start(
      Membership membership,
      CatalogueSource catalogue,
      EndpointDirectory directory,
      EndpointListener listener,
      TimerService timer) {
    EndpointStatuses statuses = new EndpointStatuses(membership, catalogue, listener, timer);
    directory.subscribe(statuses::onListChanged);
    catalogue.subscribe(changed -> timer.after(Duration.ZERO, statuses::publishAll));
    membership.subscribe((before, after) -> timer.after(Duration.ZERO, statuses::rebuildScheduled));
    return statuses;
  }

  /**
   * Updates the load report of an endpoint; may be called from any thread.
   *
   * @param status status with the values that the endpoint reported, or unreachable
   */
  public void updateReport(EndpointStatus status) {
    timer.after(
        Duration.ZERO,
        () -> {
          EndpointStatus before = reported.put(status.id(), status);
          if (scheduled.containsKey(status.id())) {
            listener.onReported(status.id());
          }
          if (!status.equals(before)) {
            publish(status.id());
          }
        });
  }

  /**
   * Returns the status of an endpoint of the local failure domain.
   *
   * @param pool pool of a model or service
   * @param id endpoint
   * @return status according to the platform's list and the catalogue, without load reports; empty
   *     if the endpoint is not listed in the pool
   */
  public Optional<EndpointStatus> find(PoolName pool, EndpointId id) {
    return Optional.ofNullable(byPool.getOrDefault(pool, Map.of()).get(id));
  }

  @Override
  public Collection<EndpointStatus> current() {
    return scheduled.values();
  }

  private void onListChanged(PoolEndpoints message) {
    List<ListedInstance> before = listed.getOrDefault(message.pool(), List.of());
    Set<String> removed =
        before.stream().map(ListedInstance::id).collect(Collectors.toCollection(HashSet::new));
    message.endpoints().forEach(instance -> removed.remove(instance.id()));
    listed.put(message.pool(), message.endpoints());
    for (String id : removed) {
      reported.remove(EndpointId.of(id));
      listener.onRemoved(message.pool(), EndpointId.of(id));
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
        .forEach(instance -> listener.onChanged(pool, statusWithReport(pool, instance)));
  }

  private void publish(EndpointId id) {
    listed.forEach(
        (pool, instances) ->
            instances.stream()
                .filter(instance -> instance.id().equals(id.value()))
                .forEach(instance -> listener.onChanged(pool, statusWithReport(pool, instance))));
  }

  private void rebuildScheduled() {
    MembershipView view = membership.view();
    Map<PoolName, Map<EndpointId, EndpointStatus>> allByPool = new HashMap<>();
    Map<EndpointId, EndpointStatus> scheduledHere = new HashMap<>();
    listed.forEach(
        (pool, instances) -> {
          Map<EndpointId, EndpointStatus> endpoints = new HashMap<>();
          instances.forEach(
              instance ->
                  endpoints.put(EndpointId.of(instance.id()), statusWithoutReport(pool, instance)));
          allByPool.put(pool, Map.copyOf(endpoints));
          if (isScheduledHere(view, pool)) {
            scheduledHere.putAll(endpoints);
          }
        });
    byPool = Map.copyOf(allByPool);
    reported.keySet().retainAll(scheduledHere.keySet());
    scheduled = Map.copyOf(scheduledHere);
  }

  private static boolean isScheduledHere(MembershipView view, PoolName pool) {
    return Schedulers.of(view, view.localDomain(), pool)
        .filter(scheduler -> scheduler.equals(view.self()))
        .isPresent();
  }

  /** Returns the status of an endpoint, with its load report if it has sent one. */
  private EndpointStatus statusWithReport(PoolName pool, ListedInstance instance) {
    EndpointStatus withoutReport = statusWithoutReport(pool, instance);
    EndpointStatus report = reported.get(withoutReport.id());
    if (report == null) {
      return withoutReport;
    }
    boolean leaving = withoutReport.state() == EndpointStatus.State.LEAVING;
    return new EndpointStatus(
        withoutReport.id(),
        withoutReport.host(),
        withoutReport.port(),
        leaving ? withoutReport.state() : report.state(),
        withoutReport.lowestTier(),
        minKnownLimit(withoutReport.maxInFlight(), report.maxInFlight()),
        report.cacheTokens(),
        report.reportedRunning(),
        report.reportedQueued(),
        report.reportedKvTokens(),
        report.maxKvTokens());
  }

  /**
   * Returns the status of an endpoint according to the platform's list and the catalogue; the
   * values that only load reports carry are unknown.
   */
  private EndpointStatus statusWithoutReport(PoolName pool, ListedInstance instance) {
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

  /** Returns the lower of two limits, or the known one if the other is 0, which means unknown. */
  private static int minKnownLimit(int one, int other) {
    return one == 0 || other == 0 ? Math.max(one, other) : Math.min(one, other);
  }
}
