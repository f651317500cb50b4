package org.snipewick.idempotency;

import static java.util.Objects.requireNonNull;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;
import org.snipewick.identity.InstanceId;
import org.snipewick.membership.Loss;
import org.snipewick.membership.Member;
import org.snipewick.membership.Membership;
import org.snipewick.membership.MembershipView;
import org.snipewick.time.TimerService;

/**
 * Counts members of the own domain that were lost with their memory: those that the loss history
 * names, those that restarted unnoticed, and those that left before their records were handed over.
 */
final class LossTracker {
  private static final long MEMORY_MILLIS = 3_600_000;

  private final Map<MemberProcess, Long> lostAtEpochMillis = new ConcurrentHashMap<>();
  private final Map<MemberProcess, Long> handedOver = new ConcurrentHashMap<>();
  private final Membership membership;
  private final LossHistory history;
  private final TimerService timer;

  private LossTracker(Membership membership, LossHistory history, TimerService timer) {
    this.membership = requireNonNull(membership, "membership");
    this.history = requireNonNull(history, "history");
    this.timer = requireNonNull(timer, "timer");
  }

  static LossTracker of(Membership membership, LossHistory history, TimerService timer) {
    LossTracker tracker = new LossTracker(membership, history, timer);
    membership.subscribe(tracker::compare);
    return tracker;
  }

  /** Notes that a process has handed over all its records. */
  void handedOver(InstanceId instance, long incarnation) {
    MemberProcess process = new MemberProcess(instance, incarnation);
    handedOver.put(process, timer.epochMillis());
    lostAtEpochMillis.remove(process);
  }

  /** Lists the losses that this instance knows of. */
  List<Loss> known() {
    MembershipView view = membership.view();
    forgetOld();
    lostAtEpochMillis.keySet().removeIf(process -> isAlive(view, process));
    Stream<Loss> observed =
        lostAtEpochMillis.entrySet().stream()
            .map(
                entry ->
                    new Loss(
                        entry.getKey().instance(), entry.getKey().incarnation(), entry.getValue()));
    Stream<Loss> told = history.recentLosses().stream();
    return Stream.concat(observed, told).toList();
  }

  /**
   * Lists the processes of the own domain that this instance takes for running, itself included.
   */
  List<MemberProcess> believedRunning() {
    MembershipView view = membership.view();
    return view.reachableIn(view.ownDomain()).stream()
        .map(MemberProcess::of)
        .filter(process -> !handedOver.containsKey(process))
        .toList();
  }

  /** Returns this process. */
  MemberProcess self() {
    MembershipView view = membership.view();
    return MemberProcess.of(view.members().get(view.self()));
  }

  /**
   * Counts different processes that were lost since a time.
   *
   * @param losses what several members know
   * @param epochMillis earliest time that matters, in milliseconds since the Unix epoch
   */
  static int count(Collection<Loss> losses, long epochMillis) {
    return (int)
        losses.stream()
            .filter(loss -> loss.atEpochMillis() >= epochMillis)
            .map(loss -> new MemberProcess(loss.id(), loss.incarnation()))
            .distinct()
            .count();
  }

  private void compare(MembershipView before, MembershipView after) {
    for (Member member : before.members().values()) {
      MemberProcess process = MemberProcess.of(member);
      boolean own = member.domain().equals(before.ownDomain());
      boolean served = member.state() != Member.State.DEAD && member.incarnation() != 0;
      boolean other = !member.id().equals(before.self());
      if (own && served && other && !isAlive(after, process) && !handedOver.containsKey(process)) {
        lostAtEpochMillis.put(process, timer.epochMillis());
      }
    }
  }

  private void forgetOld() {
    long oldest = timer.epochMillis() - MEMORY_MILLIS;
    lostAtEpochMillis.values().removeIf(at -> at < oldest);
    handedOver.values().removeIf(at -> at < oldest);
  }

  private static boolean isAlive(MembershipView view, MemberProcess process) {
    return view.find(process.instance())
        .filter(member -> member.state() != Member.State.DEAD)
        .filter(member -> member.incarnation() == process.incarnation())
        .isPresent();
  }
}
