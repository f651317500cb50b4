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

/** Turns the member table into immutable views and tells listeners and the event log of changes. */
final class ViewPublisher {
  private final MemberTable table;
  private final DomainBeats beats;
  private final TimerService timer;
  private final EventLog log;
  private final AtomicReference<Snapshot> snapshot;
  private final List<BiConsumer<MembershipView, MembershipView>> listeners =
      new CopyOnWriteArrayList<>();

  ViewPublisher(MemberTable table, DomainBeats beats, TimerService timer, EventLog log) {
    this.table = requireNonNull(table, "table");
    this.beats = requireNonNull(beats, "beats");
    this.timer = requireNonNull(timer, "timer");
    this.log = requireNonNull(log, "log");
    this.snapshot = new AtomicReference<>(takeSnapshot(Set.of()));
  }

  MembershipView view() {
    return snapshot.get().view();
  }

  List<Loss> losses() {
    return snapshot.get().losses();
  }

  Map<FailureDomain, Integer> hashes() {
    return snapshot.get().hashes();
  }

  int ownHash() {
    return hashes().getOrDefault(table.self().domain(), 0);
  }

  void subscribe(BiConsumer<MembershipView, MembershipView> listener) {
    listeners.add(requireNonNull(listener, "listener"));
  }

  /** Publishes the table as it stands; to be called on the timer's thread. */
  void publish() {
    Snapshot known = snapshot.get();
    long now = timer.nanoTime();
    known.otherDomains().forEach(domain -> beats.expect(domain, now));
    Set<FailureDomain> silent = beats.silent(now);
    if (known.tableChanges() == table.changes() && known.silent().equals(silent)) {
      return;
    }
    Snapshot after = takeSnapshot(silent);
    MembershipView before = snapshot.getAndSet(after).view();
    if (!before.equals(after.view())) {
      recordChanges(before, after.view());
      listeners.forEach(listener -> listener.accept(before, after.view()));
    }
  }

  private Snapshot takeSnapshot(Set<FailureDomain> silent) {
    return new Snapshot(
        table.changes(),
        silent,
        table.view(silent),
        table.otherDomains(),
        table.hashes(),
        table.losses());
  }

  private void recordChanges(MembershipView before, MembershipView after) {
    for (Member member : after.members().values()) {
      Optional<Member> known = before.find(member.id());
      if (known.isEmpty() || known.get().state() != member.state()) {
        log.record(
            EventType.MEMBER_CHANGED,
            member.id().value(),
            Map.of("state", member.state().name(), "incarnation", member.incarnation()));
      }
    }
  }

  private record Snapshot(
      long tableChanges,
      Set<FailureDomain> silent,
      MembershipView view,
      Set<FailureDomain> otherDomains,
      Map<FailureDomain, Integer> hashes,
      List<Loss> losses) {}
}
