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
 * Acquires, renews and releases the leases of this process. Thread-safe. Each lease is acquired
 * separately, because every renewal of a lease costs a write to the platform's table.
 */
public final class LeaseController {
  private final Map<String, ManagedLease> managedLeases = new ConcurrentHashMap<>();
  private final Map<String, AtomicReference<ManagedLease.ObservedVersion>> observedVersions =
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
   * Creates the controller of a process and starts its periodic renewals.
   *
   * @param table the platform's table
   * @param self this instance
   * @param incarnation start of this process, in milliseconds since the Unix epoch
   * @param timer clock and timer
   * @param events event log
   * @param settings durations of leases
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
    var unused = timer.every(settings.renewalPeriod(), controller::acquireOrRenewAll);
    return controller;
  }

  /**
   * Starts acquiring a lease, and keeps acquiring or renewing it until it is released.
   *
   * @param name name of the lease
   */
  public void acquire(String name) {
    managedLeases.computeIfAbsent(name, this::createLease).acquireOrRenew();
  }

  private ManagedLease createLease(String name) {
    AtomicReference<ManagedLease.ObservedVersion> observedVersion =
        observedVersions.computeIfAbsent(name, absent -> new AtomicReference<>());
    return new ManagedLease(name, table, self, timer, events, settings, observedVersion);
  }

  /**
   * Returns a lease if this process holds it at the moment of the call.
   *
   * @param name name of the lease
   * @return the lease, empty if it is not held
   */
  public Optional<Lease> held(String name) {
    return Optional.ofNullable(managedLeases.get(name)).flatMap(ManagedLease::held);
  }

  /**
   * Releases a lease, so that another process can acquire it without waiting for its expiry. Must
   * not be called while an order under the lease is in flight.
   *
   * @param name name of the lease
   * @return completes after the attempt and never fails; a lease that could not be released expires
   */
  public CompletableFuture<Void> release(String name) {
    ManagedLease lease = managedLeases.remove(name);
    return lease == null ? CompletableFuture.completedFuture(null) : lease.release();
  }

  /**
   * Releases all leases, for a planned stop.
   *
   * @return completes after an attempt for each lease and never fails
   */
  public CompletableFuture<Void> releaseAll() {
    return CompletableFuture.allOf(
        managedLeases.keySet().stream().map(this::release).toArray(CompletableFuture[]::new));
  }

  private void acquireOrRenewAll() {
    managedLeases.values().forEach(ManagedLease::acquireOrRenew);
  }
}
