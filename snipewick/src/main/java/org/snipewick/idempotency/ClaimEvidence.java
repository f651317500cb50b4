package org.snipewick.idempotency;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.snipewick.idempotency.KeyRecord.Status;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.RequestId;
import org.snipewick.membership.Loss;

/** Judges from what the members of a domain tell whether a key was claimed before. */
final class ClaimEvidence {
  private final CoverageTracker coverage;
  private final LossTracker losses;
  private final LedgerContext context;
  private final Function<KeyRecord, CompletableFuture<KeyRecord>> resolver;

  ClaimEvidence(
      CoverageTracker coverage,
      LossTracker losses,
      LedgerContext context,
      Function<KeyRecord, CompletableFuture<KeyRecord>> resolver) {
    this.coverage = requireNonNull(coverage, "coverage");
    this.losses = requireNonNull(losses, "losses");
    this.context = requireNonNull(context, "context");
    this.resolver = requireNonNull(resolver, "resolver");
  }

  /** Returns the record that decides; empty if it is proved that nobody has the key. */
  CompletableFuture<Optional<KeyRecord>> judge(
      String key, Optional<RequestId> claimant, List<IdempotencyMessages.Told> told, long now) {
    Coverage joint =
        told.stream()
            .map(IdempotencyMessages.Told::coverage)
            .reduce(coverage.current(), Coverage::join);
    long earliest =
        KeyAge.earliestClaimEpochMillis(key, now, context.settings().keyRetention().toMillis());
    boolean absent = joint.provesAbsence(earliest, LossTracker.count(lost(told, now), earliest));
    CompletableFuture<Optional<KeyRecord>> best =
        CompletableFuture.completedFuture(absent ? Optional.empty() : Optional.of(doubtful(key)));
    for (IdempotencyMessages.Told each : told) {
      Optional<KeyRecord> known = each.known().filter(record -> !isAsking(record, claimant));
      if (known.isPresent()) {
        best = best.thenCombine(resolver.apply(known.get()), ClaimEvidence::weightier);
      }
    }
    return best;
  }

  /**
   * Lists lost processes, among them those that a member takes for running but did not answer. A
   * member that knows an instance by the platform's list alone says nothing of its process: it is
   * not lost if any process of that instance answers.
   */
  private List<Loss> lost(List<IdempotencyMessages.Told> told, long now) {
    Set<MemberProcess> answered = new HashSet<>(Set.of(losses.self()));
    told.forEach(each -> answered.add(each.self()));
    Set<InstanceId> present =
        answered.stream().map(MemberProcess::instance).collect(Collectors.toSet());
    List<Loss> lost = new ArrayList<>(losses.known());
    for (IdempotencyMessages.Told each : told) {
      lost.addAll(each.losses());
      each.running().stream()
          .filter(process -> !answered.contains(process))
          .filter(process -> process.isHeard() || !present.contains(process.instance()))
          .map(process -> new Loss(process.instance(), process.incarnation(), now))
          .forEach(lost::add);
    }
    return lost;
  }

  private static Optional<KeyRecord> weightier(Optional<KeyRecord> best, KeyRecord record) {
    if (record.status() == Status.RELEASED) {
      return best;
    }
    boolean better = best.isEmpty() || record.status().compareTo(best.get().status()) > 0;
    boolean given = record.status() != Status.PREPARING;
    return better || (given && best.get().request().equals(KeyRecord.NOBODY))
        ? Optional.of(record)
        : best;
  }

  /** Tells whether a record is only the claimant's own, unproved claim at another registrar. */
  private static boolean isAsking(KeyRecord record, Optional<RequestId> claimant) {
    return record.status() == Status.PREPARING
        && claimant.filter(record.request()::equals).isPresent();
  }

  /** Tells whether a key is so old that an earlier claim may have been forgotten. */
  boolean isExpired(String key, long now) {
    long oldest = now - context.settings().keyRetention().toMillis();
    return KeyAge.credibleAtEpochMillis(key, now).orElse(Long.MAX_VALUE) < oldest;
  }

  /** Returns the record of a key that somebody unknown may have claimed. */
  KeyRecord doubtful(String key) {
    return new KeyRecord(
        key,
        KeyRecord.ANY_FINGERPRINT,
        KeyRecord.NOBODY,
        Status.UNKNOWN,
        Optional.empty(),
        context.timer().epochMillis());
  }
}
