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

/**
 * Sends heartbeats within the local failure domain, and introductions to peers that may not have
 * this instance in their member table. Used by the timer's thread only.
 */
final class HeartbeatSender {
  private static final int ROUNDS_PER_DEAD_PROBE = 4;

  private final MemberTable table;
  private final ActivityMonitor activity;
  private final ViewPublisher publisher;
  private final PeerNetwork network;
  private final TimerService timer;
  private final RandomGenerator random;
  private final Duration introductionTimeout;
  private final LongSupplier catalogueVersion;

  HeartbeatSender(
      MemberTable table,
      ActivityMonitor activity,
      ViewPublisher publisher,
      PeerNetwork network,
      TimerService timer,
      RandomGenerator random,
      Duration introductionTimeout,
      LongSupplier catalogueVersion) {
    this.table = requireNonNull(table, "table");
    this.activity = requireNonNull(activity, "activity");
    this.publisher = requireNonNull(publisher, "publisher");
    this.network = requireNonNull(network, "network");
    this.timer = requireNonNull(timer, "timer");
    this.random = requireNonNull(random, "random");
    this.introductionTimeout = requireNonNull(introductionTimeout, "introductionTimeout");
    this.catalogueVersion = requireNonNull(catalogueVersion, "catalogueVersion");
  }

  /** Sends a heartbeat to every other member of the local domain that has not ended. */
  void sendToLocalPeers() {
    table.localPeers().forEach(this::send);
  }

  /**
   * Sends a heartbeat, with an introduction if the receiver may not have this instance in its table
   * yet.
   */
  void send(MemberRecord to) {
    MemberClaim receiver = to.claim();
    if (to.acknowledgedSequence() == 0 || activity.awaitsAcknowledgement(to)) {
      introduce(receiver.id());
    }
    MemberClaim self = table.self();
    network.send(
        receiver.id(),
        new MembershipMessages.Heartbeat(
            self.incarnation(),
            self.refutation(),
            self.status(),
            activity.sequence(),
            to.receivedSequence(),
            receiver.isEnded() ? receiver.refutation() + 1 : 0,
            publisher.localHash(),
            catalogueVersion.getAsLong()));
  }

  /**
   * Sends a heartbeat to one random local peer that was declared dead, every {@link
   * #ROUNDS_PER_DEAD_PROBE} rounds. A peer that is still running then refutes the claim.
   */
  void probeOneDeadPeer() {
    if (activity.sequence() % ROUNDS_PER_DEAD_PROBE != 0) {
      return;
    }
    List<MemberRecord> dead =
        table.select(
            record ->
                table.isLocalDomain(record.claim())
                    && record.claim().status() == MemberClaim.Status.DEAD);
    if (!dead.isEmpty()) {
      send(dead.get(random.nextInt(dead.size())));
    }
  }

  /**
   * Sends this instance's claim about itself to a peer that may not have received it, or that may
   * have a later process of the same name and then rejects the claim.
   */
  private void introduce(InstanceId to) {
    MemberClaim self = table.self();
    MembershipMessages.DomainState introduction =
        new MembershipMessages.DomainState(self.domain(), 0, List.of(self), List.of(), false);
    network
        .call(to, introduction, introductionTimeout)
        .whenComplete((answer, failure) -> timer.after(Duration.ZERO, () -> onIntroduced(failure)));
  }

  private void onIntroduced(Throwable failure) {
    if (failure != null && FailureException.unwrap(failure).type() == FailureType.SUPERSEDED) {
      table.setSuperseded();
      activity.deactivate("superseded");
    }
  }
}
