package org.snipewick.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;
import org.snipewick.peer.PeerNetwork;
import org.snipewick.time.TimerService;

/**
 * Anti-entropy gossip: sends digests to random samples of remote members and to one local peer, and
 * sends the claims about a domain to a peer whose digest of that domain differs. From its local
 * peers an instance also receives the claims about domains that it cannot reach itself.
 *
 * <p>Used by the timer's thread only.
 */
final class DigestExchange {
  /** Number of local peers that receive a digest per exchange. */
  private static final int LOCAL_FANOUT = 1;

  private static final int MAX_STATES_PER_DIGEST_REPLY = 2;

  private final MemberTable table;
  private final DomainHeartbeats heartbeats;
  private final PeerNetwork network;
  private final TimerService timer;
  private final RandomGenerator random;
  private final MembershipSettings settings;

  DigestExchange(
      MemberTable table,
      DomainHeartbeats heartbeats,
      PeerNetwork network,
      TimerService timer,
      RandomGenerator random,
      MembershipSettings settings) {
    this.table = table;
    this.heartbeats = heartbeats;
    this.network = network;
    this.timer = timer;
    this.random = random;
    this.settings = settings;
  }

  /** Restarts the timeouts of all domains after a pause of this process. */
  void restartTimeouts(long nowNanos) {
    heartbeats.restartTimeouts(nowNanos);
  }

  /**
   * Increments the heartbeat counter of the local domain, and sends a digest to random samples of
   * the remote members and of the local peers.
   */
  void sendDigests(long version, Map<FailureDomain, Integer> hashes) {
    heartbeats.increment(table.self().domain(), timer.epochMillis(), timer.nanoTime());
    MembershipMessages.Digest digest =
        new MembershipMessages.Digest(
            table.self(),
            hashes.entrySet().stream()
                .map(
                    entry ->
                        new MembershipMessages.DomainDigest(
                            entry.getKey(), entry.getValue(), heartbeats.get(entry.getKey())))
                .toList(),
            version);
    sample(table.remotePeers(), settings.digestFanout()).forEach(to -> network.send(to, digest));
    sample(table.localPeers(), LOCAL_FANOUT).forEach(to -> network.send(to, digest));
  }

  /**
   * Merges the heartbeat counters of a digest and sends its sender the state of up to {@link
   * #MAX_STATES_PER_DIGEST_REPLY} domains, picked at random, whose hashes differ between the two
   * instances.
   */
  void answerDigest(
      InstanceId from, MembershipMessages.Digest digest, Map<FailureDomain, Integer> hashes) {
    long now = timer.nanoTime();
    TreeSet<FailureDomain> differing = new TreeSet<>(hashes.keySet());
    for (MembershipMessages.DomainDigest summary : digest.domains()) {
      heartbeats.advanceTo(summary.domain(), summary.heartbeatCounter(), now);
      differing.add(summary.domain());
      if (hashes.getOrDefault(summary.domain(), 0) == summary.hash()) {
        differing.remove(summary.domain());
      }
    }
    List<FailureDomain> rotated = new ArrayList<>(differing);
    int start = rotated.isEmpty() ? 0 : random.nextInt(rotated.size());
    Collections.rotate(rotated, start);
    rotated.stream()
        .limit(MAX_STATES_PER_DIGEST_REPLY)
        .forEach(domain -> sendState(from, domain, hashes, false));
  }

  /** Sends all claims about a domain, with its lost processes if it is the local domain. */
  void sendState(
      InstanceId to, FailureDomain domain, Map<FailureDomain, Integer> hashes, boolean reply) {
    List<LostProcess> lostProcesses =
        domain.equals(table.self().domain()) ? table.lostProcesses() : List.of();
    network.send(
        to,
        new MembershipMessages.DomainState(
            domain, hashes.getOrDefault(domain, 0), table.claimsOf(domain), lostProcesses, reply));
  }

  /**
   * Removes the members of a remote domain that the sender did not report, if the sender is itself
   * a member of that domain.
   */
  void removeUnreported(InstanceId sender, MembershipMessages.DomainState state) {
    boolean senderIsMember =
        state.claims().stream().anyMatch(claim -> claim.id().equals(sender) && !claim.isEnded());
    if (senderIsMember) {
      table.retainReported(
          state.domain(),
          state.claims().stream().map(MemberClaim::id).collect(Collectors.toSet()),
          timer.nanoTime());
    }
  }

  private List<InstanceId> sample(List<MemberRecord> members, int size) {
    List<MemberRecord> candidates = new ArrayList<>(members);
    List<InstanceId> chosen = new ArrayList<>();
    while (chosen.size() < size && !candidates.isEmpty()) {
      int index = random.nextInt(candidates.size());
      chosen.add(candidates.get(index).claim().id());
      candidates.set(index, candidates.get(candidates.size() - 1));
      candidates.remove(candidates.size() - 1);
    }
    return chosen;
  }
}
