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
 * Hands an accepted change to all members: directly within the own failure domain, and in each
 * other domain to one member, which hands it on.
 */
final class CatalogueSpread {
  private static final Duration PUSH_TIMEOUT = Duration.ofMillis(700);
  private static final Duration RELAY_TIMEOUT = Duration.ofMillis(900);
  private static final int RELAY_ATTEMPTS = 2;

  private final Membership membership;
  private final PeerNetwork network;
  private final RandomGenerator random;

  CatalogueSpread(Membership membership, PeerNetwork network, RandomGenerator random) {
    this.membership = requireNonNull(membership, "membership");
    this.network = requireNonNull(network, "network");
    this.random = requireNonNull(random, "random");
  }

  /** Hands a change to all members; completes with those that confirmed, itself included. */
  CompletableFuture<Set<InstanceId>> toAll(Proposal accepted) {
    MembershipView view = membership.view();
    Set<InstanceId> confirmed = new ConcurrentSkipListSet<>();
    List<CompletableFuture<?>> running = new ArrayList<>();
    running.add(toOwnDomain(accepted).thenAccept(confirmed::addAll));
    for (FailureDomain domain : view.byDomain().keySet()) {
      if (!domain.equals(view.ownDomain())) {
        List<Member> candidates = new ArrayList<>(view.reachableIn(domain));
        running.add(relay(accepted, candidates, RELAY_ATTEMPTS, confirmed));
      }
    }
    return all(running).thenApply(done -> confirmed);
  }

  /** Hands a change to the own domain; completes with those that confirmed, itself included. */
  CompletableFuture<Set<InstanceId>> toOwnDomain(Proposal accepted) {
    MembershipView view = membership.view();
    Set<InstanceId> confirmed = new ConcurrentSkipListSet<>(Set.of(view.self()));
    CatalogueMessages.Push push = new CatalogueMessages.Push(accepted.version(), accepted.change());
    List<CompletableFuture<?>> running = new ArrayList<>();
    for (Member member : view.reachableIn(view.ownDomain())) {
      if (!member.id().equals(view.self())) {
        running.add(ask(member.id(), push, PUSH_TIMEOUT, confirmed));
      }
    }
    return all(running).thenApply(done -> confirmed);
  }

  private CompletableFuture<?> relay(
      Proposal accepted, List<Member> candidates, int attempts, Set<InstanceId> confirmed) {
    if (candidates.isEmpty() || attempts == 0) {
      return CompletableFuture.completedFuture(null);
    }
    InstanceId to = candidates.remove(random.nextInt(candidates.size())).id();
    CatalogueMessages.Relay relay =
        new CatalogueMessages.Relay(accepted.version(), accepted.change());
    return ask(to, relay, RELAY_TIMEOUT, confirmed)
        .thenCompose(
            answered ->
                answered
                    ? CompletableFuture.completedFuture(null)
                    : relay(accepted, candidates, attempts - 1, confirmed));
  }

  /** Asks one instance and notes who confirmed; completes with whether it answered. */
  private CompletableFuture<Boolean> ask(
      InstanceId to, PeerMessage message, Duration timeout, Set<InstanceId> confirmed) {
    return network
        .call(to, message, timeout)
        .handle(
            (answer, failure) -> {
              if (answer instanceof CatalogueMessages.Confirmation confirmation) {
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
