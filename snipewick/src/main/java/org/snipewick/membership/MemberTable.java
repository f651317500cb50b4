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

/**
 * Claims about all members, and the rules for merging them. A member without an incarnation is only
 * an entry of the platform's list or a seed; no claim about a process of it was received. Used by
 * the timer's thread only.
 */
final class MemberTable {
  /** How long the claim about an ended member is kept. */
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

  /** Returns whether a later process of the same name exists. */
  boolean isSuperseded() {
    return superseded;
  }

  /** Records that a later process of the same name exists. */
  void setSuperseded() {
    superseded = true;
  }

  /** Sets the status of the local instance. */
  void setStatus(MemberClaim.Status status) {
    self = self.withStatus(status);
    changeCount++;
  }

  /**
   * Refutes a claim that this process is dead, by a refutation higher than that of the claim.
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

  /** Returns another member, empty if the table does not contain it. */
  Optional<MemberRecord> find(InstanceId id) {
    return Optional.ofNullable(peers.get(id));
  }

  /** Returns all other members, ended ones included. */
  Collection<MemberRecord> all() {
    return peers.values();
  }

  /**
   * Returns the other members of the local domain that have not ended, including those without an
   * incarnation.
   */
  List<MemberRecord> localPeers() {
    return select(record -> isLocalDomain(record.claim()) && !record.claim().isEnded());
  }

  /**
   * Returns the members of remote domains that have not ended, including those without an
   * incarnation.
   */
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

  /**
   * Adds an instance from the platform's list or the seeds; returns false if the table already
   * contains it or it is the local instance.
   */
  boolean addListed(MemberClaim claim, long nowNanos) {
    boolean added =
        !claim.id().equals(self.id())
            && peers.putIfAbsent(claim.id(), new MemberRecord(claim, nowNanos)) == null;
    if (added) {
      changeCount++;
    }
    return added;
  }

  /** Removes the members without an incarnation that are no longer listed and are no seeds. */
  void retainListed(Set<InstanceId> listed) {
    removeIf(record -> !record.claim().hasIncarnation() && !listed.contains(record.claim().id()));
  }

  /**
   * Merges a claim if it supersedes the one in this table.
   *
   * @return whether anything changed; for a claim about this instance, whether it had to be refuted
   *     or shows that a later process of the same name exists
   */
  boolean merge(MemberClaim claim, long nowNanos, long nowEpochMillis) {
    if (claim.id().equals(self.id())) {
      return mergeClaimAboutSelf(claim);
    }
    MemberRecord current = peers.get(claim.id());
    if (current == null) {
      peers.put(claim.id(), new MemberRecord(claim, nowNanos));
      changeCount++;
      return true;
    }
    if (!claim.supersedes(current.claim())
        || contradictsRecentHeartbeat(claim, current, nowNanos)) {
      return false;
    }
    updateLostProcesses(current.claim(), claim, nowEpochMillis);
    current.replace(claim, nowNanos);
    changeCount++;
    return true;
  }

  /**
   * Merges lost processes that a peer reports; ignores those of the local instance and those that
   * have not ended according to this table.
   */
  void mergeLostProcesses(List<LostProcess> reported) {
    for (LostProcess lost : reported) {
      MemberRecord current = peers.get(lost.id());
      boolean alive =
          current != null
              && current.claim().incarnation() == lost.incarnation()
              && !current.claim().isEnded();
      if (!alive && !lost.id().equals(self.id())) {
        lostProcesses.add(lost.id(), lost.incarnation(), lost.declaredDeadEpochMillis());
        changeCount++;
      }
    }
  }

  /**
   * Handles members with an incarnation that a member of their domain did not report: removes those
   * that have ended, and keeps only the address of the others. The sender may not have received
   * their claims yet; if the domain is cut off before it reports them, they have to count as
   * unreachable like the rest of their domain.
   */
  void retainReported(FailureDomain domain, Set<InstanceId> reported, long nowNanos) {
    Predicate<MemberRecord> isUnreported =
        record ->
            record.claim().domain().equals(domain)
                && record.claim().hasIncarnation()
                && !reported.contains(record.claim().id());
    removeIf(record -> isUnreported.test(record) && record.claim().isEnded());
    for (MemberRecord record : select(isUnreported)) {
      record.replace(record.claim().withoutProcess(), nowNanos);
      changeCount++;
    }
  }

  /**
   * Declares members of the local domain dead whose death timeout has passed; returns whether there
   * were any.
   */
  boolean declareTimedOutDead(long nowNanos, long nowEpochMillis) {
    List<MemberRecord> timedOut =
        localPeers().stream()
            .filter(record -> record.sinceHeartbeatNanos(nowNanos) > deathTimeoutNanos)
            .toList();
    for (MemberRecord record : timedOut) {
      MemberClaim dead = record.claim().withStatus(MemberClaim.Status.DEAD);
      updateLostProcesses(record.claim(), dead, nowEpochMillis);
      record.replace(dead, nowNanos);
      changeCount++;
    }
    return !timedOut.isEmpty();
  }

  /** Removes members that ended longer ago than the retention time, and expired lost processes. */
  void purgeEnded(long nowNanos, long nowEpochMillis) {
    long retention = ENDED_RETENTION.toNanos();
    removeIf(
        record ->
            record.claim().isEnded()
                && record.claim().hasIncarnation()
                && record.endedForNanos(nowNanos) > retention);
    if (lostProcesses.purge(nowEpochMillis)) {
      changeCount++;
    }
  }

  /** Returns the lost processes of the local domain, sorted. */
  List<LostProcess> lostProcesses() {
    return lostProcesses.sorted();
  }

  /** Returns the claims with an incarnation about a domain's members, ended ones included. */
  List<MemberClaim> claimsOf(FailureDomain domain) {
    return claimsWithIncarnation().filter(claim -> claim.domain().equals(domain)).toList();
  }

  /**
   * Returns for each failure domain a hash of its members that have an incarnation and have not
   * ended.
   */
  Map<FailureDomain, Integer> hashes() {
    return claimsWithIncarnation()
        .filter(claim -> !claim.isEnded())
        .collect(
            Collectors.groupingBy(
                MemberClaim::domain, TreeMap::new, Collectors.summingInt(MemberTable::hash)));
  }

  /** Returns the remote domains of all members, including those without an incarnation. */
  Set<FailureDomain> remoteDomains() {
    return peers.values().stream()
        .map(MemberRecord::claim)
        .filter(claim -> !isLocalDomain(claim))
        .map(MemberClaim::domain)
        .collect(Collectors.toUnmodifiableSet());
  }

  /**
   * Returns a view of the members. All members of domains that have timed out are dead in it.
   * Members without an incarnation are included only if their domain has timed out.
   */
  MembershipView view(Set<FailureDomain> timedOutDomains) {
    return MembershipView.ofAll(
        self.id(),
        claims()
            .filter(claim -> claim.hasIncarnation() || isInTimedOutDomain(claim, timedOutDomains))
            .map(claim -> claim.toMember(isInTimedOutDomain(claim, timedOutDomains)))
            .toList());
  }

  private boolean isInTimedOutDomain(MemberClaim claim, Set<FailureDomain> timedOutDomains) {
    return !isLocalDomain(claim) && timedOutDomains.contains(claim.domain());
  }

  private void removeIf(Predicate<MemberRecord> condition) {
    if (peers.values().removeIf(condition)) {
      changeCount++;
    }
  }

  private Stream<MemberClaim> claims() {
    return Stream.concat(Stream.of(self), peers.values().stream().map(MemberRecord::claim));
  }

  private Stream<MemberClaim> claimsWithIncarnation() {
    return claims().filter(MemberClaim::hasIncarnation);
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
  private boolean contradictsRecentHeartbeat(
      MemberClaim claim, MemberRecord current, long nowNanos) {
    return claim.status() == MemberClaim.Status.DEAD
        && isLocalDomain(claim)
        && claim.incarnation() == current.claim().incarnation()
        && current.receivedSequence() > 0
        && current.sinceHeartbeatNanos(nowNanos) <= deathTimeoutNanos;
  }

  private void updateLostProcesses(MemberClaim before, MemberClaim after, long nowEpochMillis) {
    if (!isLocalDomain(before) || !before.hasIncarnation()) {
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
