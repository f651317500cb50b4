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
import org.snipewick.membership.LostProcess;

/** Determines from the reports of a domain's members whether a key was claimed before. */
final class ClaimEvidence {
  private final CoverageTracker coverage;
  private final LostProcessTracker lostProcessTracker;
  private final LedgerContext context;
  private final Function<KeyRecord, CompletableFuture<KeyRecord>> resolver;

  /**
   * Creates the evaluation of reports.
   *
   * @param resolver returns a record with the current status of its request
   */
  ClaimEvidence(
      CoverageTracker coverage,
      LostProcessTracker lostProcessTracker,
      LedgerContext context,
      Function<KeyRecord, CompletableFuture<KeyRecord>> resolver) {
    this.coverage = requireNonNull(coverage, "coverage");
    this.lostProcessTracker = requireNonNull(lostProcessTracker, "lostProcessTracker");
    this.context = requireNonNull(context, "context");
    this.resolver = requireNonNull(resolver, "resolver");
  }

  /**
   * Returns the most conclusive record of the key; empty if it is proved that the key was never
   * claimed. If there is neither a record nor such a proof, returns {@link #unknownClaim}.
   *
   * @param key key with its team
   * @param claimant request that claims the key, empty for a lookup
   * @param reports reports of the other members
   * @param nowEpochMillis current time in milliseconds since the Unix epoch
   */
  CompletableFuture<Optional<KeyRecord>> evaluate(
      String key,
      Optional<RequestId> claimant,
      List<IdempotencyMessages.KeyReport> reports,
      long nowEpochMillis) {
    Coverage jointCoverage =
        reports.stream()
            .map(IdempotencyMessages.KeyReport::coverage)
            .reduce(coverage.current(), Coverage::join);
    long earliestEpochMillis =
        KeyAge.earliestClaimEpochMillis(
            key, nowEpochMillis, context.settings().keyRetention().toMillis());
    boolean absenceProved =
        jointCoverage.provesAbsence(
            earliestEpochMillis,
            LostProcessTracker.count(lostProcesses(reports, nowEpochMillis), earliestEpochMillis));
    CompletableFuture<Optional<KeyRecord>> best =
        CompletableFuture.completedFuture(
            absenceProved ? Optional.empty() : Optional.of(unknownClaim(key)));
    for (IdempotencyMessages.KeyReport report : reports) {
      Optional<KeyRecord> known =
          report.known().filter(record -> !isOwnClaimInPreparation(record, claimant));
      if (known.isPresent()) {
        best = best.thenCombine(resolver.apply(known.get()), ClaimEvidence::moreConclusive);
      }
    }
    return best;
  }

  /**
   * Returns the lost processes, including those that a member presumes running but that did not
   * report. If the incarnation of such a process is not known, it counts as lost only if no process
   * of its instance reported.
   */
  private List<LostProcess> lostProcesses(
      List<IdempotencyMessages.KeyReport> reports, long nowEpochMillis) {
    Set<MemberProcess> reporting = new HashSet<>(Set.of(lostProcessTracker.self()));
    reports.forEach(report -> reporting.add(report.self()));
    Set<InstanceId> reportingInstances =
        reporting.stream().map(MemberProcess::instance).collect(Collectors.toSet());
    List<LostProcess> lost = new ArrayList<>(lostProcessTracker.knownLostProcesses());
    for (IdempotencyMessages.KeyReport report : reports) {
      lost.addAll(report.lostProcesses());
      report.running().stream()
          .filter(process -> !reporting.contains(process))
          .filter(
              process ->
                  process.hasKnownIncarnation() || !reportingInstances.contains(process.instance()))
          .map(
              process -> new LostProcess(process.instance(), process.incarnation(), nowEpochMillis))
          .forEach(lost::add);
    }
    return lost;
  }

  /**
   * Returns the record with the later status. The record of a released request is ignored, and a
   * claim that is past its preparation replaces the placeholder of an unknown request.
   */
  private static Optional<KeyRecord> moreConclusive(Optional<KeyRecord> best, KeyRecord record) {
    if (record.status() == Status.RELEASED) {
      return best;
    }
    boolean later = best.isEmpty() || record.status().compareTo(best.get().status()) > 0;
    boolean verified = record.status() != Status.PREPARING;
    return later || (verified && best.get().request().equals(KeyRecord.UNKNOWN_REQUEST))
        ? Optional.of(record)
        : best;
  }

  /**
   * Returns whether a record is only the claimant's own claim, still in preparation at another
   * registrar.
   */
  private static boolean isOwnClaimInPreparation(KeyRecord record, Optional<RequestId> claimant) {
    return record.status() == Status.PREPARING
        && claimant.filter(record.request()::equals).isPresent();
  }

  /** Returns whether a key is so old that the record of an earlier claim may have expired. */
  boolean isExpired(String key, long nowEpochMillis) {
    long oldestEpochMillis = nowEpochMillis - context.settings().keyRetention().toMillis();
    return KeyAge.plausibleCreatedAtEpochMillis(key, nowEpochMillis).orElse(Long.MAX_VALUE)
        < oldestEpochMillis;
  }

  /** Returns the record of a key that an unknown request may have claimed. */
  KeyRecord unknownClaim(String key) {
    return new KeyRecord(
        key,
        KeyRecord.ANY_FINGERPRINT,
        KeyRecord.UNKNOWN_REQUEST,
        Status.UNKNOWN,
        Optional.empty(),
        context.timer().epochMillis());
  }
}
