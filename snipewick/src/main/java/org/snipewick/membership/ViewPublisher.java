package org.snipewick.membership;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiConsumer;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.identity.FailureDomain;
import org.snipewick.time.TimerService;

/**
 * Publishes immutable views of the member table, and notifies listeners and the event log of
 * changes. Snapshots may be read on any thread.
 */
final class ViewPublisher {
  private final MemberTable table;
  private final DomainHeartbeats heartbeats;
  private final TimerService timer;
  private final EventLog log;
  private final AtomicReference<Snapshot> snapshot;
  private final List<BiConsumer<MembershipView, MembershipView>> listeners =
      new CopyOnWriteArrayList<>();

  ViewPublisher(MemberTable table, DomainHeartbeats heartbeats, TimerService timer, EventLog log) {
    this.table = requireNonNull(table, "table");
    this.heartbeats = requireNonNull(heartbeats, "heartbeats");
    this.timer = requireNonNull(timer, "timer");
    this.log = requireNonNull(log, "log");
    this.snapshot = new AtomicReference<>(takeSnapshot(Set.of()));
  }

  MembershipView view() {
    return snapshot.get().view();
  }

  List<LostProcess> lostProcesses() {
    return snapshot.get().lostProcesses();
  }

  Map<FailureDomain, Integer> hashes() {
    return snapshot.get().hashes();
  }

  /** Returns the hash of the local domain; runs on the timer's thread. */
  int localHash() {
    return hashes().getOrDefault(table.self().domain(), 0);
  }

  void subscribe(BiConsumer<MembershipView, MembershipView> listener) {
    listeners.add(requireNonNull(listener, "listener"));
  }

  /**
   * Publishes the table if it or the set of domains that have timed out changed; runs on the
   * timer's thread.
   */
  void publish() {
    Snapshot published = snapshot.get();
    long now = timer.nanoTime();
    published.remoteDomains().forEach(domain -> heartbeats.startTracking(domain, now));
    Set<FailureDomain> timedOutDomains = heartbeats.timedOutDomains(now);
    if (published.tableChangeCount() == table.changeCount()
        && published.timedOutDomains().equals(timedOutDomains)) {
      return;
    }
    Snapshot after = takeSnapshot(timedOutDomains);
    MembershipView before = snapshot.getAndSet(after).view();
    if (!before.equals(after.view())) {
      logChanges(before, after.view());
      listeners.forEach(listener -> listener.accept(before, after.view()));
    }
  }

  private Snapshot takeSnapshot(Set<FailureDomain> timedOutDomains) {
    return new Snapshot(
        table.changeCount(),
        timedOutDomains,
        table.view(timedOutDomains),
        table.remoteDomains(),
        table.hashes(),
        table.lostProcesses());
  }

  private void logChanges(MembershipView before, MembershipView after) {
    for (Member member : after.members().values()) {
      Optional<Member> earlier = before.find(member.id());
      if (earlier.isEmpty() || earlier.get().state() != member.state()) {
        log.record(
            EventType.MEMBER_CHANGED,
            member.id().value(),
            Map.of("state", member.state().name(), "incarnation", member.incarnation()));
      }
    }
  }

  private record Snapshot(
      long tableChangeCount,
      Set<FailureDomain> timedOutDomains,
      MembershipView view,
      Set<FailureDomain> remoteDomains,
      Map<FailureDomain, Integer> hashes,
      List<LostProcess> lostProcesses) {}
}
