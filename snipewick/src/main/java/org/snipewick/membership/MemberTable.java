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

/** Claims about all members and the rules that merge them; used by the timer's thread only. */
final class MemberTable {
  private static final Duration ENDED_RETENTION = Duration.ofHours(2);

  private final Map<InstanceId, MemberRecord> others = new HashMap<>();
  private final Losses losses;
  private final long deathNanos;
  private Claim self;
  private boolean superseded;
  private long changes;

  MemberTable(Claim self, MembershipSettings settings) {
    this.self = requireNonNull(self, "self");
    this.losses = new Losses(settings.lossRetention().toMillis());
    this.deathNanos = settings.deathTimeout().toNanos();
  }

  Claim self() {
    return self;
  }

  /** Counts changes of what this table says. */
  long changes() {
    return changes;
  }

  /** Tells whether a later process has taken this instance's name. */
  boolean isSuperseded() {
    return superseded;
  }

  void setSuperseded() {
    superseded = true;
  }

  void setStatus(Claim.Status status) {
    self = self.withStatus(status);
    changes++;
  }

  /** Answers a claim that this process is dead; false if it is already answered. */
  boolean refute(int refutation) {
    if (refutation < self.refutation()) {
      return false;
    }
    self = self.withRefutation(refutation + 1);
    changes++;
    return true;
  }

  Optional<MemberRecord> find(InstanceId id) {
    return Optional.ofNullable(others.get(id));
  }

  Collection<MemberRecord> all() {
    return others.values();
  }

  /** Returns the other members of the own domain that have not ended, listed ones included. */
  List<MemberRecord> neighbours() {
    return select(record -> isOwnDomain(record.claim()) && !record.claim().isEnded());
  }

  /** Returns the members of other domains that have not ended, listed ones included. */
  List<MemberRecord> strangers() {
    return select(record -> !isOwnDomain(record.claim()) && !record.claim().isEnded());
  }

  List<MemberRecord> select(Predicate<MemberRecord> condition) {
    return others.values().stream().filter(condition).toList();
  }

  boolean isOwnDomain(Claim claim) {
    return claim.domain().equals(self.domain());
  }

  /** Adds an instance that is listed but has not been heard of; false if it is known. */
  boolean addListed(Claim claim, long nowNanos) {
    boolean added =
        !claim.id().equals(self.id())
            && others.putIfAbsent(claim.id(), new MemberRecord(claim, nowNanos)) == null;
    if (added) {
      changes++;
    }
    return added;
  }

  /** Removes members that are neither heard of nor listed any more. */
  void retainListed(Set<InstanceId> listed) {
    removeIf(record -> !record.claim().isHeardOf() && !listed.contains(record.claim().id()));
  }

  /**
   * Takes a claim over if it supersedes what is known.
   *
   * @return whether anything changed, or this instance has to refute a claim
   */
  boolean merge(Claim claim, long nowNanos, long nowEpochMillis) {
    if (claim.id().equals(self.id())) {
      return mergeOfSelf(claim);
    }
    MemberRecord known = others.get(claim.id());
    if (known == null) {
      others.put(claim.id(), new MemberRecord(claim, nowNanos));
      changes++;
      return true;
    }
    if (!claim.supersedes(known.claim()) || contradictsHearing(claim, known, nowNanos)) {
      return false;
    }
    noteLoss(known.claim(), claim, nowEpochMillis);
    known.replace(claim, nowNanos);
    changes++;
    return true;
  }

  /** Takes over which processes peers know to be lost. */
  void mergeLosses(List<Loss> reported) {
    for (Loss loss : reported) {
      MemberRecord known = others.get(loss.id());
      boolean lives =
          known != null
              && known.claim().incarnation() == loss.incarnation()
              && !known.claim().isEnded();
      if (!lives && !loss.id().equals(self.id())) {
        losses.add(loss.id(), loss.incarnation(), loss.atEpochMillis());
        changes++;
      }
    }
  }

  /** Removes members of another domain that one of its own members does not know. */
  void retainIn(FailureDomain domain, Set<InstanceId> known) {
    removeIf(
        record ->
            record.claim().domain().equals(domain)
                && record.claim().isHeardOf()
                && !known.contains(record.claim().id()));
  }

  /** Declares silent members of the own domain dead; returns whether there were any. */
  boolean declareSilentDead(long nowNanos, long nowEpochMillis) {
    List<MemberRecord> silent =
        neighbours().stream().filter(record -> record.silenceNanos(nowNanos) > deathNanos).toList();
    for (MemberRecord record : silent) {
      Claim dead = record.claim().withStatus(Claim.Status.DEAD);
      noteLoss(record.claim(), dead, nowEpochMillis);
      record.replace(dead, nowNanos);
      changes++;
    }
    return !silent.isEmpty();
  }

  /** Forgets members that ended long ago. */
  void purgeEnded(long nowNanos, long nowEpochMillis) {
    long retention = ENDED_RETENTION.toNanos();
    removeIf(
        record ->
            record.claim().isEnded()
                && record.claim().isHeardOf()
                && record.endedForNanos(nowNanos) > retention);
    if (losses.purge(nowEpochMillis)) {
      changes++;
    }
  }

  List<Loss> losses() {
    return losses.sorted();
  }

  List<Claim> claimsOf(FailureDomain domain) {
    return heardOf().filter(claim -> claim.domain().equals(domain)).toList();
  }

  /** Returns a hash of the members that have not ended, for each failure domain. */
  Map<FailureDomain, Integer> hashes() {
    return heardOf()
        .filter(claim -> !claim.isEnded())
        .collect(
            Collectors.groupingBy(
                Claim::domain, TreeMap::new, Collectors.summingInt(MemberTable::hash)));
  }

  /** Returns the other domains that are heard of or listed. */
  Set<FailureDomain> otherDomains() {
    return others.values().stream()
        .map(MemberRecord::claim)
        .filter(claim -> !isOwnDomain(claim))
        .map(Claim::domain)
        .collect(Collectors.toUnmodifiableSet());
  }

  /**
   * Returns the members. Those of silent domains are dead, also if they are listed but have never
   * been heard of.
   */
  MembershipView view(Set<FailureDomain> silentDomains) {
    return MembershipView.ofAll(
        self.id(),
        claims()
            .filter(claim -> claim.isHeardOf() || isSilent(claim, silentDomains))
            .map(claim -> claim.toMember(isSilent(claim, silentDomains)))
            .toList());
  }

  private boolean isSilent(Claim claim, Set<FailureDomain> silentDomains) {
    return !isOwnDomain(claim) && silentDomains.contains(claim.domain());
  }

  private void removeIf(Predicate<MemberRecord> condition) {
    if (others.values().removeIf(condition)) {
      changes++;
    }
  }

  private Stream<Claim> claims() {
    return Stream.concat(Stream.of(self), others.values().stream().map(MemberRecord::claim));
  }

  private Stream<Claim> heardOf() {
    return claims().filter(Claim::isHeardOf);
  }

  private boolean mergeOfSelf(Claim claim) {
    if (claim.incarnation() > self.incarnation()) {
      superseded = true;
      return true;
    }
    return claim.incarnation() == self.incarnation()
        && claim.isEnded()
        && refute(claim.refutation());
  }

  /** A member that is heard now is not dead, whatever others say; it will refute them itself. */
  private boolean contradictsHearing(Claim claim, MemberRecord known, long nowNanos) {
    return claim.status() == Claim.Status.DEAD
        && isOwnDomain(claim)
        && claim.incarnation() == known.claim().incarnation()
        && known.receivedSequence() > 0
        && known.silenceNanos(nowNanos) <= deathNanos;
  }

  private void noteLoss(Claim before, Claim after, long nowEpochMillis) {
    if (!isOwnDomain(before) || !before.isHeardOf()) {
      return;
    }
    boolean sameProcess = before.incarnation() == after.incarnation();
    if (sameProcess && !after.isEnded()) {
      losses.remove(before.id(), before.incarnation());
    } else if (sameProcess && after.status() == Claim.Status.DEPARTED) {
      losses.remove(before.id(), before.incarnation());
    } else if (before.status() != Claim.Status.DEPARTED) {
      losses.add(before.id(), before.incarnation(), nowEpochMillis);
    }
  }

  private static int hash(Claim claim) {
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
