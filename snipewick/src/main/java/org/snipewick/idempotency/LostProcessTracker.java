package org.snipewick.idempotency;

import static java.util.Objects.requireNonNull;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;
import org.snipewick.identity.InstanceId;
import org.snipewick.membership.LostProcess;
import org.snipewick.membership.Member;
import org.snipewick.membership.Membership;
import org.snipewick.membership.MembershipView;
import org.snipewick.time.TimerService;

/**
 * Tracks processes of the local domain that were lost together with their records: those in the
 * history, those that restarted before the failure was detected, and those that left before their
 * records were handed over.
 */
final class LostProcessTracker {
  private static final long RETENTION_MILLIS = 3_600_000;

  private final Map<MemberProcess, Long> lostAtEpochMillis = new ConcurrentHashMap<>();
  private final Map<MemberProcess, Long> handedOverAtEpochMillis = new ConcurrentHashMap<>();
  private final Membership membership;
  private final LostProcessHistory history;
  private final TimerService timer;

  private LostProcessTracker(
      Membership membership, LostProcessHistory history, TimerService timer) {
    this.membership = requireNonNull(membership, "membership");
    this.history = requireNonNull(history, "history");
    this.timer = requireNonNull(timer, "timer");
  }

  static LostProcessTracker of(
      Membership membership, LostProcessHistory history, TimerService timer) {
    LostProcessTracker tracker = new LostProcessTracker(membership, history, timer);
    membership.subscribe(tracker::recordLostProcesses);
    return tracker;
  }

  /** Records that a process has handed over all its records. */
  void recordHandover(InstanceId instance, long incarnation) {
    MemberProcess process = new MemberProcess(instance, incarnation);
    handedOverAtEpochMillis.put(process, timer.epochMillis());
    lostAtEpochMillis.remove(process);
  }

  /** Returns the lost processes in the history and those that this instance detected. */
  List<LostProcess> knownLostProcesses() {
    MembershipView view = membership.view();
    removeExpired();
    lostAtEpochMillis.keySet().removeIf(process -> isAlive(view, process));
    Stream<LostProcess> observed =
        lostAtEpochMillis.entrySet().stream()
            .map(
                entry ->
                    new LostProcess(
                        entry.getKey().instance(), entry.getKey().incarnation(), entry.getValue()));
    Stream<LostProcess> fromHistory = history.recentLostProcesses().stream();
    return Stream.concat(observed, fromHistory).toList();
  }

  /**
   * Returns the processes of the local domain that this instance presumes running, including
   * itself.
   */
  List<MemberProcess> presumedRunning() {
    MembershipView view = membership.view();
    return view.reachableIn(view.localDomain()).stream()
        .map(MemberProcess::of)
        .filter(process -> !handedOverAtEpochMillis.containsKey(process))
        .toList();
  }

  /** Returns this process. */
  MemberProcess self() {
    MembershipView view = membership.view();
    return MemberProcess.of(view.members().get(view.self()));
  }

  /**
   * Counts the distinct processes that were lost since a time.
   *
   * @param lostProcesses lost processes reported by several members, possibly with duplicates
   * @param sinceEpochMillis earliest time that counts, in milliseconds since the Unix epoch
   */
  static int count(Collection<LostProcess> lostProcesses, long sinceEpochMillis) {
    return (int)
        lostProcesses.stream()
            .filter(lost -> lost.declaredDeadEpochMillis() >= sinceEpochMillis)
            .map(lost -> new MemberProcess(lost.id(), lost.incarnation()))
            .distinct()
            .count();
  }

  private void recordLostProcesses(MembershipView before, MembershipView after) {
    for (Member member : before.members().values()) {
      MemberProcess process = MemberProcess.of(member);
      boolean local = member.domain().equals(before.localDomain());
      boolean wasRunning = member.state() != Member.State.DEAD && member.incarnation() != 0;
      boolean otherInstance = !member.id().equals(before.self());
      if (local
          && wasRunning
          && otherInstance
          && !isAlive(after, process)
          && !handedOverAtEpochMillis.containsKey(process)) {
        lostAtEpochMillis.put(process, timer.epochMillis());
      }
    }
  }

  private void removeExpired() {
    long oldestEpochMillis = timer.epochMillis() - RETENTION_MILLIS;
    lostAtEpochMillis.values().removeIf(at -> at < oldestEpochMillis);
    handedOverAtEpochMillis.values().removeIf(at -> at < oldestEpochMillis);
  }

  private static boolean isAlive(MembershipView view, MemberProcess process) {
    return view.find(process.instance())
        .filter(member -> member.state() != Member.State.DEAD)
        .filter(member -> member.incarnation() == process.incarnation())
        .isPresent();
  }
}
