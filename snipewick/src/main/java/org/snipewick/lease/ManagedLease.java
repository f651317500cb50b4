package org.snipewick.lease;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.store.Row;
import org.snipewick.store.Table;
import org.snipewick.store.Write;
import org.snipewick.store.WriteResult;
import org.snipewick.time.TimerService;

/**
 * One lease that this process acquires and then renews until it is released. A lease of another
 * process is taken over only after this process has itself observed the same version of its row for
 * the lease duration plus the longest duration of an order; clocks of different processes are never
 * compared. Thread-safe.
 */
final class ManagedLease {
  private static final String KEY_PREFIX = "lease/";

  private final String name;
  private final Table table;
  private final LeaseHolder self;
  private final TimerService timer;
  private final EventLog events;
  private final LeaseSettings settings;
  private final AtomicReference<Lease> lease = new AtomicReference<>();
  private final AtomicReference<ObservedVersion> observedVersion;
  private final AtomicBoolean attemptInProgress = new AtomicBoolean();
  private final AtomicBoolean released = new AtomicBoolean();

  ManagedLease(
      String name,
      Table table,
      LeaseHolder self,
      TimerService timer,
      EventLog events,
      LeaseSettings settings,
      AtomicReference<ObservedVersion> observedVersion) {
    this.observedVersion = requireNonNull(observedVersion, "observedVersion");
    this.name = requireNonNull(name, "name");
    this.table = table;
    this.self = self;
    this.timer = timer;
    this.events = events;
    this.settings = settings;
  }

  /** Returns the lease if this process holds it at the moment of the call. */
  Optional<Lease> held() {
    return Optional.ofNullable(lease.get()).filter(current -> current.check().isEmpty());
  }

  /**
   * Reads the row and acquires, renews or takes over the lease where possible. Does nothing while
   * an earlier call is in progress or after {@link #release}.
   */
  void acquireOrRenew() {
    if (released.get() || !attemptInProgress.compareAndSet(false, true)) {
      return;
    }
    recordExpiry();
    var unused =
        table
            .read(KEY_PREFIX + name)
            .thenCompose(this::handleRow)
            .whenComplete((done, failure) -> attemptInProgress.set(false));
  }

  /** Releases the lease; completes after the attempt to update the row and never fails. */
  CompletableFuture<Void> release() {
    released.set(true);
    if (lease.getAndSet(null) == null) {
      return CompletableFuture.completedFuture(null);
    }
    events.record(EventType.LEASE_LOST, name, Map.of("cause", "given up"));
    return table
        .read(KEY_PREFIX + name)
        .thenCompose(row -> row.map(this::writeReleased).orElseGet(ManagedLease::completed))
        .handle((cleared, failure) -> null);
  }

  private CompletableFuture<Void> writeReleased(Row row) {
    return LeaseRow.parse(row.value())
        .filter(self::holds)
        .map(held -> table.write(Write.replace(row.key(), row.version(), held.released().toJson())))
        .map(written -> written.<Void>thenApply(result -> null))
        .orElseGet(ManagedLease::completed);
  }

  private CompletableFuture<Void> handleRow(Optional<Row> row) {
    if (row.isEmpty()) {
      return write(Write.insert(KEY_PREFIX + name, self.row(1, settings).toJson()), 1);
    }
    // A malformed row is treated as held by an unknown process; its fencing number is lost.
    LeaseRow current =
        LeaseRow.parse(row.get().value()).orElseGet(() -> new LeaseRow("?", 0, 0, 0));
    if (self.holds(current)) {
      return replace(row.get(), current.fencing());
    }
    if (!current.isHeld() || hasExpired(row.get(), current)) {
      return replace(row.get(), current.fencing() + 1);
    }
    return completed();
  }

  private boolean hasExpired(Row row, LeaseRow current) {
    ObservedVersion observed = observedVersion.get();
    if (observed == null || observed.version() != row.version()) {
      observedVersion.set(new ObservedVersion(row.version(), timer.nanoTime()));
      return false;
    }
    Duration duration =
        Duration.ofMillis(Math.max(current.durationMillis(), settings.duration().toMillis()));
    long end = observed.firstObservedNanos() + duration.plus(settings.maxOrderDuration()).toNanos();
    return timer.nanoTime() - end >= 0;
  }

  private CompletableFuture<Void> replace(Row row, long fencing) {
    String value = self.row(fencing, settings).toJson();
    return write(Write.replace(row.key(), row.version(), value), fencing);
  }

  /** Writes the row; the lease's duration starts before the write is sent. */
  private CompletableFuture<Void> write(Write write, long fencing) {
    long sentNanos = timer.nanoTime();
    return table
        .write(write)
        .thenAccept(
            result -> {
              if (result instanceof WriteResult.Applied && !released.get()) {
                setHeld(fencing, sentNanos);
              }
            });
  }

  private void setHeld(long fencing, long sentNanos) {
    long end = sentNanos + settings.duration().minus(settings.clockDriftMargin()).toNanos();
    Lease before = lease.getAndSet(new Lease(name, fencing, end, timer));
    if (before == null || before.fencing() != fencing) {
      events.record(EventType.LEASE_TAKEN, name, Map.of("fencing", fencing));
    }
  }

  /** Clears the lease and records an event if it has expired. */
  private void recordExpiry() {
    Lease current = lease.get();
    if (current != null && current.check().isPresent() && lease.compareAndSet(current, null)) {
      events.record(
          EventType.LEASE_LOST, name, Map.of("fencing", current.fencing(), "cause", "lapsed"));
    }
  }

  private static CompletableFuture<Void> completed() {
    return CompletableFuture.completedFuture(null);
  }

  /**
   * Version of a lease's row, and when this process first observed it. It stays valid while this
   * process does not try to acquire the lease: the same version later means that no process has
   * renewed it in between.
   *
   * @param version version of the row
   * @param firstObservedNanos time of the first observation on the monotonic clock
   */
  record ObservedVersion(long version, long firstObservedNanos) {}
}
