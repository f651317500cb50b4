package org.snipewick.membership;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.InstanceId;
import org.snipewick.peer.PeerNetwork;
import org.snipewick.time.TimerService;

/** Sends heartbeats within the own failure domain, and introductions to who may not know us. */
final class HeartbeatSender {
  private static final int PROBE_ROUNDS = 4;

  private final MemberTable table;
  private final StandingKeeper standing;
  private final ViewPublisher publisher;
  private final PeerNetwork network;
  private final TimerService timer;
  private final RandomGenerator random;
  private final Duration timeout;
  private final LongSupplier version;

  HeartbeatSender(
      MemberTable table,
      StandingKeeper standing,
      ViewPublisher publisher,
      PeerNetwork network,
      TimerService timer,
      RandomGenerator random,
      Duration timeout,
      LongSupplier version) {
    this.table = requireNonNull(table, "table");
    this.standing = requireNonNull(standing, "standing");
    this.publisher = requireNonNull(publisher, "publisher");
    this.network = requireNonNull(network, "network");
    this.timer = requireNonNull(timer, "timer");
    this.random = requireNonNull(random, "random");
    this.timeout = requireNonNull(timeout, "timeout");
    this.version = requireNonNull(version, "version");
  }

  void sendToNeighbours() {
    table.neighbours().forEach(this::send);
  }

  void send(MemberRecord to) {
    Claim receiver = to.claim();
    if (to.acknowledgedSequence() == 0 || standing.awaits(to)) {
      introduce(receiver.id());
    }
    Claim self = table.self();
    network.send(
        receiver.id(),
        new MembershipMessages.Heartbeat(
            self.incarnation(),
            self.refutation(),
            self.status(),
            standing.sequence(),
            to.receivedSequence(),
            receiver.isEnded() ? receiver.refutation() + 1 : 0,
            publisher.ownHash(),
            version.getAsLong()));
  }

  /** Every few rounds asks one member that is held for dead. */
  void probeOneDead() {
    if (standing.sequence() % PROBE_ROUNDS != 0) {
      return;
    }
    List<MemberRecord> dead =
        table.select(
            record ->
                table.isOwnDomain(record.claim()) && record.claim().status() == Claim.Status.DEAD);
    if (!dead.isEmpty()) {
      send(dead.get(random.nextInt(dead.size())));
    }
  }

  /** Tells a member of this instance, which it may not know or may have replaced. */
  private void introduce(InstanceId to) {
    Claim self = table.self();
    MembershipMessages.DomainState introduction =
        new MembershipMessages.DomainState(self.domain(), 0, List.of(self), List.of(), false);
    network
        .call(to, introduction, timeout)
        .whenComplete((answer, failure) -> timer.after(Duration.ZERO, () -> onIntroduced(failure)));
  }

  private void onIntroduced(Throwable failure) {
    if (failure != null && FailureException.unwrap(failure).type() == FailureType.SUPERSEDED) {
      table.setSuperseded();
      standing.lose("superseded");
    }
  }
}
