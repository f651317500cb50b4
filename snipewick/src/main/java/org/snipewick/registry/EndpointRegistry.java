package org.snipewick.registry;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.identity.EndpointId;
import org.snipewick.time.TimerService;

/**
 * Cached entries of the list of endpoints. No entry is removed while the list cannot be read.
 * Entries that are missing right after such an outage may have lapsed although their endpoints are
 * alive; they are kept for a grace period in which the endpoints can register again. Not
 * thread-safe: all calls and timers must run on one thread.
 */
public final class EndpointRegistry {
  /**
   * The platform specifies that live endpoints are listed again about two seconds after an outage.
   */
  static final Duration LAPSE_GRACE_PERIOD = Duration.ofSeconds(2);

  /**
   * Time for which the announcement of a departure is remembered. An endpoint may go on serving for
   * many seconds after it, and its entry may lapse and return meanwhile.
   */
  static final Duration DEPARTURE_RETENTION = Duration.ofMinutes(10);

  /** A restored copy of the store is some seconds old; this is several times as long. */
  static final Duration REMOVAL_RETENTION = Duration.ofSeconds(60);

  private final TimerService timer;
  private final EventLog events;
  private final Consumer<Collection<RegisteredEndpoint>> subscriber;
  private final Map<EndpointId, RegisteredEndpoint> listed = new HashMap<>();
  private final Set<EndpointId> lapsed = new HashSet<>();

  /** Endpoints that announced their departure, with the start of the incarnation that did. */
  private final Map<EndpointId, Long> announcedDepartures = new HashMap<>();

  /** Endpoints whose entries were removed lately, with the start of the removed incarnation. */
  private final Map<EndpointId, Long> recentlyRemoved = new HashMap<>();

  private boolean isRestored;
  private boolean isReadable = true;
  private TimerService.Subscription gracePeriodTimer = () -> {};
  private boolean isInGracePeriod;

  private EndpointRegistry(
      TimerService timer, EventLog events, Consumer<Collection<RegisteredEndpoint>> subscriber) {
    this.timer = requireNonNull(timer, "timer");
    this.events = requireNonNull(events, "events");
    this.subscriber = requireNonNull(subscriber, "subscriber");
  }

  /**
   * Creates an empty registry.
   *
   * @param timer source of time
   * @param events log to which each change is written
   * @param subscriber receives all endpoints after each change, including those that are leaving or
   *     whose entries lapsed
   * @return registry
   */
  public static EndpointRegistry of(
      TimerService timer, EventLog events, Consumer<Collection<RegisteredEndpoint>> subscriber) {
    return new EndpointRegistry(timer, events, subscriber);
  }

  /**
   * Replaces all entries and notifies the subscriber. Missing entries are kept during an outage of
   * the list and the grace period after it.
   *
   * @param endpoints all endpoints that are listed now
   */
  public void replaceAll(List<RegisteredEndpoint> endpoints) {
    Set<EndpointId> missing = new HashSet<>(listed.keySet());
    for (RegisteredEndpoint endpoint : endpoints) {
      missing.remove(endpoint.id());
      put(isRestored && wasLeavingOrGone(endpoint) ? endpoint.asLeaving() : endpoint);
    }
    isRestored = false;
    missing.forEach(this::remove);
    notifySubscriber();
  }

  /**
   * Applies changes of single entries and notifies the subscriber if there are any. Removed entries
   * are kept during an outage of the list and the grace period after it.
   *
   * @param changed added or changed entries
   * @param removed names of removed entries
   */
  public void applyChanges(List<RegisteredEndpoint> changed, List<EndpointId> removed) {
    changed.forEach(this::put);
    removed.forEach(this::remove);
    if (!changed.isEmpty() || !removed.isEmpty()) {
      notifySubscriber();
    }
  }

  /**
   * Records that an endpoint announced its departure itself, and notifies the subscriber if this is
   * news. The endpoint counts as leaving until it starts again, whatever its entry says.
   *
   * @param endpoint entry of the incarnation that announced its departure
   */
  public void onDepartureAnnounced(RegisteredEndpoint endpoint) {
    Long announced = endpoint.startedEpochMillis();
    if (announced.equals(announcedDepartures.put(endpoint.id(), announced))) {
      return;
    }
    timer.after(DEPARTURE_RETENTION, () -> announcedDepartures.remove(endpoint.id(), announced));
    RegisteredEndpoint entry = listed.get(endpoint.id());
    if (entry != null && !entry.isLeaving() && hasAnnouncedDeparture(entry)) {
      listed.put(entry.id(), entry.asLeaving());
      recordChange(entry, "leaving by its own announcement");
      notifySubscriber();
    }
  }

  private boolean hasAnnouncedDeparture(RegisteredEndpoint entry) {
    Long announced = announcedDepartures.get(entry.id());
    return announced != null && announced == entry.startedEpochMillis();
  }

  /** Records that the list cannot be read; no entries are removed from now on. */
  public void onListUnavailable() {
    isReadable = false;
    gracePeriodTimer.cancel();
    isInGracePeriod = false;
  }

  /** Records that the list can be read again; missing entries are kept for the grace period. */
  public void onListAvailableAgain() {
    isReadable = true;
    isInGracePeriod = true;
    gracePeriodTimer.cancel();
    gracePeriodTimer = timer.after(LAPSE_GRACE_PERIOD, this::endGracePeriod);
  }

  /**
   * Records that the next list is that of a store restored from an older copy. Entries that are
   * missing in it are kept for the grace period, as endpoints register again. Entries of endpoints
   * that were leaving or gone before count as leaving until they are written again.
   */
  public void onListRestored() {
    isRestored = true;
    onListAvailableAgain();
  }

  private boolean wasLeavingOrGone(RegisteredEndpoint entry) {
    RegisteredEndpoint known = listed.get(entry.id());
    if (known != null) {
      return known.isLeaving() && known.startedEpochMillis() == entry.startedEpochMillis();
    }
    Long started = recentlyRemoved.get(entry.id());
    return started != null && started == entry.startedEpochMillis();
  }

  private void put(RegisteredEndpoint entry) {
    RegisteredEndpoint endpoint = hasAnnouncedDeparture(entry) ? entry.asLeaving() : entry;
    lapsed.remove(endpoint.id());
    RegisteredEndpoint before = listed.put(endpoint.id(), endpoint);
    if (before == null || before.isLeaving() != endpoint.isLeaving()) {
      recordChange(endpoint, endpoint.isLeaving() ? "leaving" : "live");
    }
  }

  private void remove(EndpointId id) {
    RegisteredEndpoint entry = listed.get(id);
    if (entry == null) {
      return;
    }
    if (!isReadable || isInGracePeriod) {
      lapsed.add(id);
      recordChange(entry, "lapsed");
    } else {
      listed.remove(id);
      Long started = entry.startedEpochMillis();
      recentlyRemoved.put(id, started);
      timer.after(REMOVAL_RETENTION, () -> recentlyRemoved.remove(id, started));
      recordChange(entry, "gone");
    }
  }

  private void endGracePeriod() {
    isInGracePeriod = false;
    if (lapsed.isEmpty()) {
      return;
    }
    Set<EndpointId> missing = Set.copyOf(lapsed);
    lapsed.clear();
    missing.forEach(this::remove);
    notifySubscriber();
  }

  private void notifySubscriber() {
    subscriber.accept(List.copyOf(listed.values()));
  }

  private void recordChange(RegisteredEndpoint endpoint, String state) {
    events.record(
        EventType.ENDPOINT_CHANGED,
        endpoint.id().toString(),
        Map.of(
            "state",
            state,
            "pool",
            endpoint.pool().toString(),
            "address",
            endpoint.host() + ":" + endpoint.port()));
  }
}
