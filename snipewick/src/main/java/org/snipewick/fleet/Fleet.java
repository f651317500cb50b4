package org.snipewick.fleet;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.identity.InstanceId;
import org.snipewick.peer.PeerNetwork;
import org.snipewick.store.MirrorListener;
import org.snipewick.store.RowChanges;
import org.snipewick.store.TableRow;
import org.snipewick.time.Moment;
import org.snipewick.time.TimerService;

/**
 * The other instances as they have registered themselves, and the reports that instances send each
 * other. To be used on one thread, on which the listener is called too.
 */
public final class Fleet implements MirrorListener {
  /** Short against the time that a request spends at an endpoint. */
  private static final Duration MIN_PERIOD = Duration.ofMillis(100);

  /** Bound on what an instance sends and handles, which costs about half a percent of a core. */
  private static final long REPORTS_PER_SECOND = 100;

  private static final long MILLIS_PER_SECOND = 1000;

  private final InstanceId self;
  private final PeerNetwork network;
  private final TimerService timer;
  private final EventLog events;
  private final Supplier<FleetMessages.Report> report;
  private final Listener listener;
  private final Map<InstanceId, FleetMember> others = new HashMap<>();

  private Fleet(
      InstanceId self,
      PeerNetwork network,
      TimerService timer,
      EventLog events,
      Supplier<FleetMessages.Report> report,
      Listener listener) {
    this.self = requireNonNull(self, "self");
    this.network = requireNonNull(network, "network");
    this.timer = requireNonNull(timer, "timer");
    this.events = requireNonNull(events, "events");
    this.report = requireNonNull(report, "report");
    this.listener = requireNonNull(listener, "listener");
  }

  /** Gets what is learnt about other instances. */
  public interface Listener {

    /**
     * Takes which other instances there are.
     *
     * @param instances registered instances but the own one
     */
    void onMembers(Set<InstanceId> instances);

    /**
     * Takes a report.
     *
     * @param from instance that sent it
     * @param report its content
     */
    void onReport(InstanceId from, FleetMessages.Report report);
  }

  /**
   * Starts to exchange reports.
   *
   * @param self own instance
   * @param network connections to other instances
   * @param executor runs tasks on the thread of the fleet
   * @param timer source of time
   * @param events log that gets members that come and go
   * @param report gives the own report
   * @param listener gets what is learnt
   * @return fleet without members, to be fed by a mirror of {@link FleetMember#TABLE}
   */
  public static Fleet start(
      InstanceId self,
      PeerNetwork network,
      Executor executor,
      TimerService timer,
      EventLog events,
      Supplier<FleetMessages.Report> report,
      Listener listener) {
    Fleet fleet = new Fleet(self, network, timer, events, report, listener);
    network.handle(
        FleetMessages.Report.class,
        (from, message) -> {
          executor.execute(() -> listener.onReport(from, message));
          return java.util.concurrent.CompletableFuture.completedFuture(null);
        });
    fleet.planReport();
    return fleet;
  }

  /**
   * Lists the other instances.
   *
   * @return registered instances but the own one
   */
  public Set<InstanceId> others() {
    return Set.copyOf(others.keySet());
  }

  private void planReport() {
    long millis = others.size() * MILLIS_PER_SECOND / REPORTS_PER_SECOND;
    Duration period = Duration.ofMillis(Math.max(MIN_PERIOD.toMillis(), millis));
    timer.after(period, this::sendReport);
  }

  private void sendReport() {
    FleetMessages.Report message = report.get();
    others.keySet().forEach(other -> network.send(other, message));
    planReport();
  }

  @Override
  public void onRows(List<TableRow> rows, Moment provenAt) {
    Set<InstanceId> missing = new java.util.HashSet<>(others.keySet());
    for (TableRow row : rows) {
      accept(row);
      missing.remove(InstanceId.of(row.key()));
    }
    missing.forEach(this::drop);
    listener.onMembers(others());
  }

  @Override
  public void onChanges(RowChanges.Told changes, Moment provenAt) {
    changes.written().forEach(this::accept);
    changes.removedKeys().forEach(key -> drop(InstanceId.of(key)));
    if (!changes.written().isEmpty() || !changes.removedKeys().isEmpty()) {
      listener.onMembers(others());
    }
  }

  private void accept(TableRow row) {
    try {
      FleetMember member = FleetMember.decode(row);
      if (!member.instance().equals(self)) {
        network.locate(member.instance(), member.address());
        if (!member.equals(others.put(member.instance(), member))) {
          record(member.instance(), "registered", row.version());
        }
      }
    } catch (IOException | IllegalArgumentException malformed) {
      events.record(
          EventType.ROW_MALFORMED,
          row.key(),
          Map.of("rowVersion", row.version(), "detail", String.valueOf(malformed.getMessage())));
    }
  }

  private void drop(InstanceId instance) {
    if (others.remove(instance) != null) {
      record(instance, "gone", -1);
    }
  }

  private void record(InstanceId instance, String state, long version) {
    events.record(
        EventType.MEMBER_CHANGED, instance.value(), Map.of("state", state, "rowVersion", version));
  }
}
