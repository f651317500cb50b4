package org.snipewick.lease;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import org.snipewick.event.EventLog;
import org.snipewick.identity.InstanceId;
import org.snipewick.store.Table;
import org.snipewick.time.TimerService;

/**
 * Takes, renews and gives up leases of this process. Leases are wanted one by one, as each costs a
 * write for every renewal.
 */
public final class LeaseController {
  private final Map<String, LeaseKeeper> keepers = new ConcurrentHashMap<>();
  private final Map<String, AtomicReference<LeaseKeeper.Sighting>> sightings =
      new ConcurrentHashMap<>();
  private final Table table;
  private final LeaseHolder self;
  private final TimerService timer;
  private final EventLog events;
  private final LeaseSettings settings;

  private LeaseController(
      Table table, LeaseHolder self, TimerService timer, EventLog events, LeaseSettings settings) {
    this.table = requireNonNull(table, "table");
    this.self = requireNonNull(self, "self");
    this.timer = requireNonNull(timer, "timer");
    this.events = requireNonNull(events, "events");
    this.settings = requireNonNull(settings, "settings");
  }

  /**
   * Starts the controller of a process.
   *
   * @param table the platform's table
   * @param self this instance
   * @param incarnation start of this process, in milliseconds since the Unix epoch
   * @param timer time
   * @param events event log
   * @param settings times of leases
   * @return running controller
   */
  public static LeaseController start(
      Table table,
      InstanceId self,
      long incarnation,
      TimerService timer,
      EventLog events,
      LeaseSettings settings) {
    LeaseHolder holder = new LeaseHolder(self.value(), incarnation);
    LeaseController controller = new LeaseController(table, holder, timer, events, settings);
    var unused = timer.every(settings.period(), controller::attend);
    return controller;
  }

  /**
   * Wants a lease from now on until it is given up.
   *
   * @param duty name of the duty
   */
  public void want(String duty) {
    keepers.computeIfAbsent(duty, this::keeper).attend();
  }

  private LeaseKeeper keeper(String duty) {
    AtomicReference<LeaseKeeper.Sighting> sighting =
        sightings.computeIfAbsent(duty, name -> new AtomicReference<>());
    return new LeaseKeeper(duty, table, self, timer, events, settings, sighting);
  }

  /**
   * Returns a lease if this process holds it at the moment of the call.
   *
   * @param duty name of the duty
   * @return the lease
   */
  public Optional<Lease> held(String duty) {
    return Optional.ofNullable(keepers.get(duty)).flatMap(LeaseKeeper::held);
  }

  /**
   * Gives a lease up, so that another process may take it at once. No order may be under way.
   *
   * @param duty name of the duty
   * @return completes when it was tried; a lease that could not be given up runs out by itself
   */
  public CompletableFuture<Void> giveUp(String duty) {
    LeaseKeeper keeper = keepers.remove(duty);
    return keeper == null ? CompletableFuture.completedFuture(null) : keeper.giveUp();
  }

  /**
   * Gives up all leases, for a planned stop.
   *
   * @return completes when all were tried
   */
  public CompletableFuture<Void> giveUpAll() {
    return CompletableFuture.allOf(
        keepers.keySet().stream().map(this::giveUp).toArray(CompletableFuture[]::new));
  }

  private void attend() {
    keepers.values().forEach(LeaseKeeper::attend);
  }
}
