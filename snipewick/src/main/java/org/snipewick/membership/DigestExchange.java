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
 * Digests to samples of other failure domains and to a neighbour, and the claims of domains where
 * they differ. By its neighbours an instance knows domains that it has never heard itself.
 */
final class DigestExchange {
  private static final int NEIGHBOUR_FANOUT = 1;
  private static final int MAX_STATES_PER_DIGEST = 2;

  private final MemberTable table;
  private final DomainBeats beats;
  private final PeerNetwork network;
  private final TimerService timer;
  private final RandomGenerator random;
  private final MembershipSettings settings;

  DigestExchange(
      MemberTable table,
      DomainBeats beats,
      PeerNetwork network,
      TimerService timer,
      RandomGenerator random,
      MembershipSettings settings) {
    this.table = table;
    this.beats = beats;
    this.network = network;
    this.timer = timer;
    this.random = random;
    this.settings = settings;
  }

  void forgiveSilence(long nowNanos) {
    beats.forgiveSilence(nowNanos);
  }

  /** Sends digests to random samples of the members of other domains and of the neighbours. */
  void sendDigests(long version, Map<FailureDomain, Integer> hashes) {
    beats.raise(table.self().domain(), timer.epochMillis(), timer.nanoTime());
    MembershipMessages.Digest digest =
        new MembershipMessages.Digest(
            table.self(),
            hashes.entrySet().stream()
                .map(
                    entry ->
                        new MembershipMessages.DomainDigest(
                            entry.getKey(), entry.getValue(), beats.get(entry.getKey())))
                .toList(),
            version);
    sample(table.strangers(), settings.digestFanout()).forEach(to -> network.send(to, digest));
    sample(table.neighbours(), NEIGHBOUR_FANOUT).forEach(to -> network.send(to, digest));
  }

  /** Notes the beats of a digest and sends what its sender lacks or has otherwise. */
  void answerDigest(
      InstanceId from, MembershipMessages.Digest digest, Map<FailureDomain, Integer> hashes) {
    long now = timer.nanoTime();
    TreeSet<FailureDomain> differing = new TreeSet<>(hashes.keySet());
    for (MembershipMessages.DomainDigest summary : digest.domains()) {
      beats.note(summary.domain(), summary.beat(), now);
      differing.add(summary.domain());
      if (hashes.getOrDefault(summary.domain(), 0) == summary.hash()) {
        differing.remove(summary.domain());
      }
    }
    List<FailureDomain> shuffled = new ArrayList<>(differing);
    int start = shuffled.isEmpty() ? 0 : random.nextInt(shuffled.size());
    Collections.rotate(shuffled, start);
    shuffled.stream()
        .limit(MAX_STATES_PER_DIGEST)
        .forEach(domain -> sendState(from, domain, hashes, false));
  }

  void sendState(
      InstanceId to, FailureDomain domain, Map<FailureDomain, Integer> hashes, boolean reply) {
    List<Loss> losses = domain.equals(table.self().domain()) ? table.losses() : List.of();
    network.send(
        to,
        new MembershipMessages.DomainState(
            domain, hashes.getOrDefault(domain, 0), table.claimsOf(domain), losses, reply));
  }

  /** Drops members of another domain that its own member, the sender, does not know. */
  void retainKnownToMember(InstanceId sender, MembershipMessages.DomainState state) {
    boolean isMember =
        state.claims().stream().anyMatch(claim -> claim.id().equals(sender) && !claim.isEnded());
    if (isMember) {
      table.retainIn(
          state.domain(), state.claims().stream().map(Claim::id).collect(Collectors.toSet()));
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
