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
 * One lease that this process wants. A lease of another process is taken over only after this
 * process has itself seen the same version of its row for the whole duration and the longest order;
 * clocks of different processes are never compared.
 */
final class LeaseKeeper {
  private static final String PREFIX = "lease/";

  private final String duty;
  private final Table table;
  private final LeaseHolder self;
  private final TimerService timer;
  private final EventLog events;
  private final LeaseSettings settings;
  private final AtomicReference<Lease> lease = new AtomicReference<>();
  private final AtomicReference<Sighting> sighting;
  private final AtomicBoolean busy = new AtomicBoolean();
  private final AtomicBoolean givenUp = new AtomicBoolean();

  LeaseKeeper(
      String duty,
      Table table,
      LeaseHolder self,
      TimerService timer,
      EventLog events,
      LeaseSettings settings,
      AtomicReference<Sighting> sighting) {
    this.sighting = requireNonNull(sighting, "sighting");
    this.duty = requireNonNull(duty, "duty");
    this.table = table;
    this.self = self;
    this.timer = timer;
    this.events = events;
    this.settings = settings;
  }

  Optional<Lease> held() {
    return Optional.ofNullable(lease.get()).filter(current -> current.check().isEmpty());
  }

  /** Renews, looks at, or takes the lease; does nothing while an earlier call is under way. */
  void attend() {
    if (givenUp.get() || !busy.compareAndSet(false, true)) {
      return;
    }
    noteLoss();
    var unused =
        table
            .read(PREFIX + duty)
            .thenCompose(this::react)
            .whenComplete((done, failure) -> busy.set(false));
  }

  CompletableFuture<Void> giveUp() {
    givenUp.set(true);
    if (lease.getAndSet(null) == null) {
      return CompletableFuture.completedFuture(null);
    }
    events.record(EventType.LEASE_LOST, duty, Map.of("cause", "given up"));
    return table
        .read(PREFIX + duty)
        .thenCompose(row -> row.map(this::clear).orElseGet(LeaseKeeper::done))
        .handle((cleared, failure) -> null);
  }

  private CompletableFuture<Void> clear(Row row) {
    return LeaseRow.parse(row.value())
        .filter(self::holds)
        .map(held -> table.write(Write.replace(row.key(), row.version(), held.givenUp().toJson())))
        .map(written -> written.<Void>thenApply(result -> null))
        .orElseGet(LeaseKeeper::done);
  }

  private CompletableFuture<Void> react(Optional<Row> row) {
    if (row.isEmpty()) {
      return write(Write.insert(PREFIX + duty, self.row(1, settings).toJson()), 1);
    }
    LeaseRow current =
        LeaseRow.parse(row.get().value()).orElseGet(() -> new LeaseRow("?", 0, 0, 0));
    if (self.holds(current)) {
      return replace(row.get(), current.fencing());
    }
    if (!current.isHeld() || isOver(row.get(), current)) {
      return replace(row.get(), current.fencing() + 1);
    }
    return done();
  }

  private boolean isOver(Row row, LeaseRow current) {
    Sighting seen = sighting.get();
    if (seen == null || seen.version() != row.version()) {
      sighting.set(new Sighting(row.version(), timer.nanoTime()));
      return false;
    }
    Duration lasts =
        Duration.ofMillis(Math.max(current.durationMillis(), settings.duration().toMillis()));
    long end = seen.atNanos() + lasts.plus(settings.longestOrder()).toNanos();
    return timer.nanoTime() - end >= 0;
  }

  private CompletableFuture<Void> replace(Row row, long fencing) {
    String value = self.row(fencing, settings).toJson();
    return write(Write.replace(row.key(), row.version(), value), fencing);
  }

  /** Writes the row; the lease is counted from before the write was sent. */
  private CompletableFuture<Void> write(Write write, long fencing) {
    long sentNanos = timer.nanoTime();
    return table
        .write(write)
        .thenAccept(
            result -> {
              if (result instanceof WriteResult.Applied && !givenUp.get()) {
                hold(fencing, sentNanos);
              }
            });
  }

  private void hold(long fencing, long sentNanos) {
    long end = sentNanos + settings.duration().minus(settings.margin()).toNanos();
    Lease before = lease.getAndSet(new Lease(duty, fencing, end, timer));
    if (before == null || before.fencing() != fencing) {
      events.record(EventType.LEASE_TAKEN, duty, Map.of("fencing", fencing));
    }
  }

  private void noteLoss() {
    Lease current = lease.get();
    if (current != null && current.check().isPresent() && lease.compareAndSet(current, null)) {
      events.record(
          EventType.LEASE_LOST, duty, Map.of("fencing", current.fencing(), "cause", "lapsed"));
    }
  }

  private static CompletableFuture<Void> done() {
    return CompletableFuture.completedFuture(null);
  }

  /**
   * Version of a lease's row, and when this process first saw it. It stays valid while this process
   * does not want the lease: the same version later means that nobody renewed in between.
   *
   * @param version version of the row
   * @param atNanos time on the monotonic clock
   */
  record Sighting(long version, long atNanos) {}
}
