package org.snipewick.catalogue;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.random.RandomGenerator;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;
import org.snipewick.membership.Member;
import org.snipewick.membership.Membership;
import org.snipewick.membership.MembershipView;
import org.snipewick.peer.PeerMessage;
import org.snipewick.peer.PeerNetwork;

/**
 * Broadcaster of accepted changes to all members: directly within the local failure domain, and for
 * each remote domain through one member, which relays the change to the others there.
 */
final class ChangeBroadcaster {
  private static final Duration PUSH_TIMEOUT = Duration.ofMillis(700);

  /** Exceeds {@link #PUSH_TIMEOUT}, as a member replies to a relay after its own pushes. */
  private static final Duration RELAY_TIMEOUT = Duration.ofMillis(900);

  /** Number of members of a remote domain that are tried, one after the other. */
  private static final int RELAY_ATTEMPTS = 2;

  private final Membership membership;
  private final PeerNetwork network;
  private final RandomGenerator random;

  ChangeBroadcaster(Membership membership, PeerNetwork network, RandomGenerator random) {
    this.membership = requireNonNull(membership, "membership");
    this.network = requireNonNull(network, "network");
    this.random = requireNonNull(random, "random");
  }

  /** Sends a change to all members; completes with those that confirmed, this one included. */
  CompletableFuture<Set<InstanceId>> sendToAll(Proposal accepted) {
    MembershipView view = membership.view();
    Set<InstanceId> confirmed = new ConcurrentSkipListSet<>();
    List<CompletableFuture<?>> calls = new ArrayList<>();
    calls.add(sendToLocalDomain(accepted).thenAccept(confirmed::addAll));
    for (FailureDomain domain : view.byDomain().keySet()) {
      if (!domain.equals(view.localDomain())) {
        List<Member> candidates = new ArrayList<>(view.reachableIn(domain));
        calls.add(relay(accepted, candidates, RELAY_ATTEMPTS, confirmed));
      }
    }
    return all(calls).thenApply(done -> confirmed);
  }

  /**
   * Sends a change to the members of the local domain; completes with those that confirmed, this
   * one included.
   */
  CompletableFuture<Set<InstanceId>> sendToLocalDomain(Proposal accepted) {
    MembershipView view = membership.view();
    Set<InstanceId> confirmed = new ConcurrentSkipListSet<>(Set.of(view.self()));
    CatalogueMessages.Push push = new CatalogueMessages.Push(accepted.version(), accepted.change());
    List<CompletableFuture<?>> calls = new ArrayList<>();
    for (Member member : view.reachableIn(view.localDomain())) {
      if (!member.id().equals(view.self())) {
        calls.add(send(member.id(), push, PUSH_TIMEOUT, confirmed));
      }
    }
    return all(calls).thenApply(done -> confirmed);
  }

  /**
   * Sends a change for relaying to a random member of a remote domain, and to another one if no
   * reply arrives, until no attempts are left.
   */
  private CompletableFuture<?> relay(
      Proposal accepted, List<Member> candidates, int attemptsLeft, Set<InstanceId> confirmed) {
    if (candidates.isEmpty() || attemptsLeft == 0) {
      return CompletableFuture.completedFuture(null);
    }
    InstanceId to = candidates.remove(random.nextInt(candidates.size())).id();
    CatalogueMessages.Relay relay =
        new CatalogueMessages.Relay(accepted.version(), accepted.change());
    return send(to, relay, RELAY_TIMEOUT, confirmed)
        .thenCompose(
            replied ->
                replied
                    ? CompletableFuture.completedFuture(null)
                    : relay(accepted, candidates, attemptsLeft - 1, confirmed));
  }

  /**
   * Sends a message and adds the instances that confirm it to a set; completes with whether a
   * confirmation was received.
   */
  private CompletableFuture<Boolean> send(
      InstanceId to, PeerMessage message, Duration timeout, Set<InstanceId> confirmed) {
    return network
        .call(to, message, timeout)
        .handle(
            (reply, failure) -> {
              if (reply instanceof CatalogueMessages.Confirmation confirmation) {
                confirmed.addAll(confirmation.inForce());
                return true;
              }
              return false;
            });
  }

  private static CompletableFuture<Void> all(List<CompletableFuture<?>> futures) {
    return CompletableFuture.allOf(futures.toArray(new CompletableFuture<?>[0]));
  }
}
