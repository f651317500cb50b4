package org.snipewick.membership;

import static java.util.Objects.requireNonNull;

import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;

/** Claims about all members, and the rules for merging them; used by the timer's thread only. */
final class MemberTable {
  private static final Duration ENDED_RETENTION = Duration.ofHours(2);

  private final Map<InstanceId, MemberRecord> peers = new HashMap<>();
  private final LostProcesses lostProcesses;
  private final long deathTimeoutNanos;
  private MemberClaim self;
  private boolean superseded;
  private long changeCount;

  MemberTable(MemberClaim self, MembershipSettings settings) {
    this.self = requireNonNull(self, "self");
    this.lostProcesses = new LostProcesses(settings.lostProcessRetention().toMillis());
    this.deathTimeoutNanos = settings.deathTimeout().toNanos();
  }

  MemberClaim self() {
    return self;
  }

  /** Returns a counter that grows with each change of this table. */
  long changeCount() {
    return changeCount;
  }

  /** Returns whether a later process has taken over this instance's name. */
  boolean isSuperseded() {
    return superseded;
  }

  /** Marks this process as superseded by a later process of the same name. */
  void setSuperseded() {
    superseded = true;
  }

  /** Sets the status of the local instance. */
  void setStatus(MemberClaim.Status status) {
    self = self.withStatus(status);
    changeCount++;
  }

  /**
   * Refutes a claim that this process is dead by a higher refutation.
   *
   * @param refutation refutation of the claim
   * @return false if the claim is already refuted
   */
  boolean refute(int refutation) {
    if (refutation < self.refutation()) {
      return false;
    }
    self = self.withRefutation(refutation + 1);
    changeCount++;
    return true;
  }

  /** Returns another member, empty if it is unknown. */
  Optional<MemberRecord> find(InstanceId id) {
    return Optional.ofNullable(peers.get(id));
  }

  /** Returns all other members, ended ones included. */
  Collection<MemberRecord> all() {
    return peers.values();
  }

  /** Returns the other members of the local domain that have not ended, listed ones included. */
  List<MemberRecord> localPeers() {
    return select(record -> isLocalDomain(record.claim()) && !record.claim().isEnded());
  }

  /** Returns the members of remote domains that have not ended, listed ones included. */
  List<MemberRecord> remotePeers() {
    return select(record -> !isLocalDomain(record.claim()) && !record.claim().isEnded());
  }

  /** Returns the other members that fulfil a condition. */
  List<MemberRecord> select(Predicate<MemberRecord> condition) {
    return peers.values().stream().filter(condition).toList();
  }

  boolean isLocalDomain(MemberClaim claim) {
    return claim.domain().equals(self.domain());
  }

  /** Adds an instance from the platform's list; returns false if it is already known. */
  boolean addListed(MemberClaim claim, long nowNanos) {
    boolean added =
        !claim.id().equals(self.id())
            && peers.putIfAbsent(claim.id(), new MemberRecord(claim, nowNanos)) == null;
    if (added) {
      changeCount++;
    }
    return added;
  }

  /** Removes members without a known process that are no longer listed. */
  void retainListed(Set<InstanceId> listed) {
    removeIf(record -> !record.claim().isHeardOf() && !listed.contains(record.claim().id()));
  }

  /**
   * Merges a claim that supersedes the known one.
   *
   * @return whether anything changed; for a claim about this instance, whether it had to be refuted
   *     or shows that a later process has taken over the name
   */
  boolean merge(MemberClaim claim, long nowNanos, long nowEpochMillis) {
    if (claim.id().equals(self.id())) {
      return mergeClaimAboutSelf(claim);
    }
    MemberRecord known = peers.get(claim.id());
    if (known == null) {
      peers.put(claim.id(), new MemberRecord(claim, nowNanos));
      changeCount++;
      return true;
    }
    if (!claim.supersedes(known.claim()) || contradictsRecentHeartbeat(claim, known, nowNanos)) {
      return false;
    }
    updateLostProcesses(known.claim(), claim, nowEpochMillis);
    known.replace(claim, nowNanos);
    changeCount++;
    return true;
  }

  /** Merges lost processes that a peer reports; ignores those that are known to be alive. */
  void mergeLostProcesses(List<LostProcess> reported) {
    for (LostProcess lost : reported) {
      MemberRecord known = peers.get(lost.id());
      boolean alive =
          known != null
              && known.claim().incarnation() == lost.incarnation()
              && !known.claim().isEnded();
      if (!alive && !lost.id().equals(self.id())) {
        lostProcesses.add(lost.id(), lost.incarnation(), lost.declaredDeadEpochMillis());
        changeCount++;
      }
    }
  }

  /** Removes members of a remote domain that a member of that domain does not list. */
  void retainIn(FailureDomain domain, Set<InstanceId> known) {
    removeIf(
        record ->
            record.claim().domain().equals(domain)
                && record.claim().isHeardOf()
                && !known.contains(record.claim().id()));
  }

  /** Declares silent members of the local domain dead; returns whether there were any. */
  boolean declareSilentDead(long nowNanos, long nowEpochMillis) {
    List<MemberRecord> silent =
        localPeers().stream()
            .filter(record -> record.silenceNanos(nowNanos) > deathTimeoutNanos)
            .toList();
    for (MemberRecord record : silent) {
      MemberClaim dead = record.claim().withStatus(MemberClaim.Status.DEAD);
      updateLostProcesses(record.claim(), dead, nowEpochMillis);
      record.replace(dead, nowNanos);
      changeCount++;
    }
    return !silent.isEmpty();
  }

  /** Removes members that ended longer ago than the retention time, and expired lost processes. */
  void purgeEnded(long nowNanos, long nowEpochMillis) {
    long retention = ENDED_RETENTION.toNanos();
    removeIf(
        record ->
            record.claim().isEnded()
                && record.claim().isHeardOf()
                && record.endedForNanos(nowNanos) > retention);
    if (lostProcesses.purge(nowEpochMillis)) {
      changeCount++;
    }
  }

  /** Returns the lost processes of the local domain, sorted. */
  List<LostProcess> lostProcesses() {
    return lostProcesses.sorted();
  }

  /** Returns the claims about a domain's members, ended ones included, only listed ones not. */
  List<MemberClaim> claimsOf(FailureDomain domain) {
    return receivedClaims().filter(claim -> claim.domain().equals(domain)).toList();
  }

  /** Returns a hash of the members that have not ended, by failure domain. */
  Map<FailureDomain, Integer> hashes() {
    return receivedClaims()
        .filter(claim -> !claim.isEnded())
        .collect(
            Collectors.groupingBy(
                MemberClaim::domain, TreeMap::new, Collectors.summingInt(MemberTable::hash)));
  }

  /** Returns the remote domains of all members, only listed ones included. */
  Set<FailureDomain> remoteDomains() {
    return peers.values().stream()
        .map(MemberRecord::claim)
        .filter(claim -> !isLocalDomain(claim))
        .map(MemberClaim::domain)
        .collect(Collectors.toUnmodifiableSet());
  }

  /**
   * Returns a view of the members. Members of silent domains are dead in it, including those that
   * are listed but from which nothing was ever received.
   */
  MembershipView view(Set<FailureDomain> silentDomains) {
    return MembershipView.ofAll(
        self.id(),
        claims()
            .filter(claim -> claim.isHeardOf() || isInSilentDomain(claim, silentDomains))
            .map(claim -> claim.toMember(isInSilentDomain(claim, silentDomains)))
            .toList());
  }

  private boolean isInSilentDomain(MemberClaim claim, Set<FailureDomain> silentDomains) {
    return !isLocalDomain(claim) && silentDomains.contains(claim.domain());
  }

  private void removeIf(Predicate<MemberRecord> condition) {
    if (peers.values().removeIf(condition)) {
      changeCount++;
    }
  }

  private Stream<MemberClaim> claims() {
    return Stream.concat(Stream.of(self), peers.values().stream().map(MemberRecord::claim));
  }

  private Stream<MemberClaim> receivedClaims() {
    return claims().filter(MemberClaim::isHeardOf);
  }

  private boolean mergeClaimAboutSelf(MemberClaim claim) {
    if (claim.incarnation() > self.incarnation()) {
      superseded = true;
      return true;
    }
    return claim.incarnation() == self.incarnation()
        && claim.isEnded()
        && refute(claim.refutation());
  }

  /**
   * Returns whether a claim of death contradicts heartbeats received within the death timeout. Such
   * a claim is ignored; the member will refute it itself.
   */
  private boolean contradictsRecentHeartbeat(MemberClaim claim, MemberRecord known, long nowNanos) {
    return claim.status() == MemberClaim.Status.DEAD
        && isLocalDomain(claim)
        && claim.incarnation() == known.claim().incarnation()
        && known.receivedSequence() > 0
        && known.silenceNanos(nowNanos) <= deathTimeoutNanos;
  }

  private void updateLostProcesses(MemberClaim before, MemberClaim after, long nowEpochMillis) {
    if (!isLocalDomain(before) || !before.isHeardOf()) {
      return;
    }
    boolean sameProcess = before.incarnation() == after.incarnation();
    if (sameProcess && !after.isEnded()) {
      lostProcesses.remove(before.id(), before.incarnation());
    } else if (sameProcess && after.status() == MemberClaim.Status.DEPARTED) {
      lostProcesses.remove(before.id(), before.incarnation());
    } else if (before.status() != MemberClaim.Status.DEPARTED) {
      lostProcesses.add(before.id(), before.incarnation(), nowEpochMillis);
    }
  }

  private static int hash(MemberClaim claim) {
    return (int)
        Hashing.komihash5_0()
            .hashStream()
            .putString(claim.id().value())
            .putLong(claim.incarnation())
            .putInt(claim.refutation())
            .putString(claim.status().name())
            .getAsLong();
  }
}
