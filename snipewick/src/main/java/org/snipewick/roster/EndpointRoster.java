package org.snipewick.roster;

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
 * Keeps the listed endpoints. While the list cannot be read, what was known holds; entries that are
 * missing right after an outage may only have lapsed, and are kept until their endpoints have had
 * time to register again. To be used on one thread.
 */
public final class EndpointRoster {
  /** Live endpoints are listed again about two seconds after an outage, says the platform. */
  static final Duration LAPSE_GRACE = Duration.ofSeconds(2);

  private final TimerService timer;
  private final EventLog events;
  private final Consumer<Collection<RosterEndpoint>> subscriber;
  private final Map<EndpointId, RosterEndpoint> listed = new HashMap<>();
  private final Set<EndpointId> lapsed = new HashSet<>();
  private boolean isReadable = true;
  private TimerService.Subscription grace = () -> {};
  private boolean isInGrace;

  private EndpointRoster(
      TimerService timer, EventLog events, Consumer<Collection<RosterEndpoint>> subscriber) {
    this.timer = requireNonNull(timer, "timer");
    this.events = requireNonNull(events, "events");
    this.subscriber = requireNonNull(subscriber, "subscriber");
  }

  /**
   * Creates an empty roster.
   *
   * @param timer source of time
   * @param events log that gets each change
   * @param subscriber gets all endpoints after each change
   * @return roster
   */
  public static EndpointRoster of(
      TimerService timer, EventLog events, Consumer<Collection<RosterEndpoint>> subscriber) {
    return new EndpointRoster(timer, events, subscriber);
  }

  /**
   * Takes what the whole list says.
   *
   * @param endpoints all listed endpoints
   */
  public void replaceAll(List<RosterEndpoint> endpoints) {
    Set<EndpointId> missing = new HashSet<>(listed.keySet());
    for (RosterEndpoint endpoint : endpoints) {
      missing.remove(endpoint.id());
      accept(endpoint);
    }
    missing.forEach(this::drop);
    publish();
  }

  /**
   * Takes entries that were changed.
   *
   * @param changed entries that are listed now
   * @param removed names whose entries are gone
   */
  public void change(List<RosterEndpoint> changed, List<EndpointId> removed) {
    changed.forEach(this::accept);
    removed.forEach(this::drop);
    if (!changed.isEmpty() || !removed.isEmpty()) {
      publish();
    }
  }

  /** Notes that the list cannot be read. */
  public void listLost() {
    isReadable = false;
    grace.cancel();
    isInGrace = false;
  }

  /** Notes that the list can be read again; missing entries count as lapsed for a while. */
  public void listRegained() {
    isReadable = true;
    isInGrace = true;
    grace.cancel();
    grace = timer.after(LAPSE_GRACE, this::endGrace);
  }

  private void accept(RosterEndpoint endpoint) {
    lapsed.remove(endpoint.id());
    RosterEndpoint before = listed.put(endpoint.id(), endpoint);
    if (before == null || before.isLeaving() != endpoint.isLeaving()) {
      record(endpoint, endpoint.isLeaving() ? "leaving" : "live");
    }
  }

  private void drop(EndpointId id) {
    RosterEndpoint known = listed.get(id);
    if (known == null) {
      return;
    }
    if (!isReadable || isInGrace) {
      lapsed.add(id);
      record(known, "lapsed");
    } else {
      listed.remove(id);
      record(known, "gone");
    }
  }

  private void endGrace() {
    isInGrace = false;
    if (lapsed.isEmpty()) {
      return;
    }
    Set<EndpointId> gone = Set.copyOf(lapsed);
    lapsed.clear();
    gone.forEach(this::drop);
    publish();
  }

  private void publish() {
    subscriber.accept(List.copyOf(listed.values()));
  }

  private void record(RosterEndpoint endpoint, String state) {
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
