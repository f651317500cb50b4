package org.snipewick.fleet;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.identity.InstanceId;
import org.snipewick.peer.PeerMessage;
import org.snipewick.peer.PeerNetwork;
import org.snipewick.store.MalformedRow;
import org.snipewick.store.MirrorListener;
import org.snipewick.store.RowChanges;
import org.snipewick.store.TableRow;
import org.snipewick.time.Moment;
import org.snipewick.time.TimerService;

/**
 * Peers as registered in the store, and the periodic exchange of reports with them: each instance
 * reports to the collector of its group, the collectors exchange the sums over their groups, and
 * each instance receives the sum over all others. Not thread-safe: all calls must run on one
 * thread, on which the listener is notified too.
 */
public final class Fleet implements MirrorListener {
  /** Time for the sums of a collector to arrive, in addition to a few report periods. */
  private static final Duration COLLECTOR_TIMEOUT_MARGIN = Duration.ofMillis(300);

  private static final int COLLECTOR_TIMEOUT_PERIODS = 3;

  private final FleetMember self;
  private final PeerNetwork network;
  private final TimerService timer;
  private final EventLog events;
  private final Supplier<FleetMessages.Report> reports;
  private final Listener listener;
  private final ReportAggregator aggregator;
  private final CandidateChoice choice;
  private final Map<InstanceId, FleetMember> peers = new HashMap<>();

  /** Index of the candidate of each group that is tried while its collector is unknown. */
  private final Map<String, Integer> triedCandidates = new HashMap<>();

  private boolean isRestored;
  private FleetGroups groups;
  private InstanceId latestCollector;

  private Fleet(
      FleetMember self,
      PeerNetwork network,
      TimerService timer,
      EventLog events,
      Supplier<FleetMessages.Report> reports,
      Listener listener) {
    this.self = requireNonNull(self, "self");
    this.network = requireNonNull(network, "network");
    this.timer = requireNonNull(timer, "timer");
    this.events = requireNonNull(events, "events");
    this.reports = requireNonNull(reports, "reports");
    this.listener = requireNonNull(listener, "listener");
    this.aggregator = ReportAggregator.empty();
    this.choice = new CandidateChoice(self.instance(), timer.nanoTime());
    this.groups = FleetGroups.of(self, List.of());
    this.latestCollector = self.instance();
  }

  /** Receiver of the registered peers and of the sums over them. */
  public interface Listener {

    /**
     * Receives the registered peers, whenever they may have changed.
     *
     * @param members all registered instances except this one
     */
    void onPeers(List<FleetMember> members);

    /**
     * Receives the sum over all other instances.
     *
     * @param totals sum, which replaces the one received before
     */
    void onPeerTotals(PeerTotals totals);
  }

  /**
   * Starts to exchange reports.
   *
   * @param self this instance
   * @param network connections to peers, whose handlers of reports and sums are set
   * @param executor executor that runs tasks on the thread of the fleet
   * @param timer source of time
   * @param events log to which changes of the registered peers are written
   * @param reports supplies the current report of this instance
   * @param listener receives the registered peers and the sums over them
   * @return fleet without peers, which listens to a mirror of {@link FleetMember#TABLE}
   */
  public static Fleet start(
      FleetMember self,
      PeerNetwork network,
      Executor executor,
      TimerService timer,
      EventLog events,
      Supplier<FleetMessages.Report> reports,
      Listener listener) {
    Fleet fleet = new Fleet(self, network, timer, events, reports, listener);
    fleet.handle(
        FleetMessages.Report.class,
        executor,
        (from, report) -> fleet.aggregator.addReport(from, report, timer.nanoTime()));
    fleet.handle(
        FleetMessages.GroupSum.class,
        executor,
        (from, sum) -> fleet.aggregator.addGroupSum(from, sum, timer.nanoTime()));
    fleet.handle(FleetMessages.PeerSum.class, executor, fleet::onPeerSum);
    fleet.scheduleReport();
    return fleet;
  }

  private <T extends PeerMessage> void handle(
      Class<T> type, Executor executor, BiConsumer<InstanceId, T> handler) {
    network.handle(
        type,
        (from, message) -> {
          executor.execute(() -> handler.accept(from, message));
          return CompletableFuture.completedFuture(null);
        });
  }

  /**
   * Returns the registered peers.
   *
   * @return copy of the names of all registered instances except this one
   */
  public Set<InstanceId> peers() {
    return Set.copyOf(peers.keySet());
  }

  /**
   * Returns whether a fleet is large, so that its instances are divided into groups.
   *
   * @param instances number of registered instances
   * @return whether it has more than 16
   */
  public static boolean isLarge(int instances) {
    return instances > FleetGroups.MAX_UNGROUPED_INSTANCES;
  }

  private void scheduleReport() {
    timer.after(groups.reportPeriod(), this::exchangeReports);
  }

  private void exchangeReports() {
    final long now = timer.nanoTime();
    final FleetMessages.Report report = reports.get();
    choice.replaceSilent(collectorTimeout(), now);
    InstanceId collector = choice.chosen();
    recordCollector(collector);
    if (collector.equals(self.instance())) {
      aggregator.addReport(self.instance(), report, now);
    } else {
      network.send(collector, report);
    }
    choice.preferredToRetry(now).stream()
        .filter(peers::containsKey)
        .forEach(preferred -> network.send(preferred, report));
    aggregator.removeExpired(now);
    Set<InstanceId> reporting = aggregator.reporting(now);
    if (!reporting.isEmpty()) {
      sendSums(reporting, now);
    }
    scheduleReport();
  }

  private void recordCollector(InstanceId collector) {
    if (!collector.equals(latestCollector)) {
      latestCollector = collector;
      events.record(
          EventType.COLLECTOR_CHANGED,
          collector.value(),
          Map.of(
              "group",
              groups.ownGroup(),
              "candidates",
              groups.ownCandidates().size(),
              "periodMillis",
              groups.reportPeriod().toMillis()));
    }
  }

  private Duration collectorTimeout() {
    return groups
        .reportPeriod()
        .multipliedBy(COLLECTOR_TIMEOUT_PERIODS)
        .plus(COLLECTOR_TIMEOUT_MARGIN);
  }

  /** Sends the sums of this collector to its group and to the collectors of the other groups. */
  private void sendSums(Set<InstanceId> reporting, long nowNanos) {
    Totals groupTotals = aggregator.groupTotals(nowNanos);
    FleetMessages.GroupSum sum = new FleetMessages.GroupSum(groups.ownGroup(), groupTotals);
    for (String group : groups.otherGroups()) {
      collectorsOf(group, nowNanos).forEach(collector -> network.send(collector, sum));
    }
    Totals all = groupTotals.plus(aggregator.otherGroupTotals(nowNanos));
    for (InstanceId instance : reporting) {
      FleetMessages.PeerSum peerSum =
          new FleetMessages.PeerSum(all.minus(aggregator.contribution(instance, nowNanos)));
      if (instance.equals(self.instance())) {
        notifyListener(peerSum);
      } else if (peers.containsKey(instance)) {
        network.send(instance, peerSum);
      }
    }
  }

  private Set<InstanceId> collectorsOf(String group, long nowNanos) {
    Set<InstanceId> collectors = new HashSet<>(aggregator.collectors(group, nowNanos));
    collectors.retainAll(peers.keySet());
    if (collectors.isEmpty()) {
      List<InstanceId> candidates = groups.candidates().get(group);
      int tried = triedCandidates.merge(group, 1, Integer::sum);
      collectors.add(candidates.get(Math.floorMod(tried - 1, candidates.size())));
    }
    return collectors;
  }

  private void onPeerSum(InstanceId from, FleetMessages.PeerSum sum) {
    if (choice.onAnswer(from, timer.nanoTime())) {
      notifyListener(sum);
    }
  }

  private void notifyListener(FleetMessages.PeerSum sum) {
    listener.onPeerTotals(new PeerTotals(sum.totals(), groups.validity()));
  }

  private void onPeersChanged() {
    groups = FleetGroups.of(self, peers.values());
    aggregator.setValidity(groups.validity());
    choice.setCandidates(groups.ownCandidates(), timer.nanoTime());
    triedCandidates.keySet().retainAll(groups.otherGroups());
    listener.onPeers(List.copyOf(peers.values()));
  }

  @Override
  public void onRows(List<TableRow> rows, Moment sentAt) {
    Set<InstanceId> missing = new HashSet<>(peers.keySet());
    rows.forEach(row -> put(row).ifPresent(missing::remove));
    if (!isRestored) {
      missing.forEach(this::remove);
    }
    isRestored = false;
    onPeersChanged();
  }

  /** Keeps peers whose rows were lost in a restore of the store; they write them again. */
  @Override
  public void onNewEra() {
    isRestored = true;
  }

  @Override
  public void onChanges(RowChanges.Delta changes, Moment sentAt) {
    changes.written().forEach(this::put);
    changes.removedKeys().forEach(this::removeKey);
    if (!changes.written().isEmpty() || !changes.removedKeys().isEmpty()) {
      onPeersChanged();
    }
  }

  /** Stores the registration in a row and returns its instance; empty if the row is malformed. */
  private Optional<InstanceId> put(TableRow row) {
    try {
      FleetMember member = FleetMember.decode(row);
      if (!member.instance().equals(self.instance())) {
        network.setAddress(member.instance(), member.address());
        if (!member.equals(peers.put(member.instance(), member))) {
          recordChange(member.instance(), "registered", row.version());
        }
      }
      return Optional.of(member.instance());
    } catch (IOException | RuntimeException malformed) {
      events.record(EventType.ROW_MALFORMED, row.key(), MalformedRow.details(row, malformed));
      return Optional.empty();
    }
  }

  private void removeKey(String key) {
    peers.keySet().stream()
        .filter(instance -> instance.value().equals(key))
        .findFirst()
        .ifPresent(this::remove);
  }

  private void remove(InstanceId instance) {
    if (peers.remove(instance) != null) {
      recordChange(instance, "gone", -1);
    }
  }

  private void recordChange(InstanceId instance, String state, long rowVersion) {
    events.record(
        EventType.MEMBER_CHANGED,
        instance.value(),
        Map.of("state", state, "rowVersion", rowVersion));
  }
}
