package org.snipewick.pool;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;

/** Request of this entry instance that waits for a grant or has one. Not thread-safe. */
final class PendingRequest {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  final CompletableFuture<PoolClient.Permit> result = new CompletableFuture<>();
  final Consumer<Decision.Cancel> onCancel;
  private final WorkRequest work;
  private final long createdNanos;
  private final Set<FailureDomain> triedDomains = new HashSet<>();
  private FailureDomain domain;
  private Optional<InstanceId> scheduler = Optional.empty();
  private Optional<GrantedPermit> permit = Optional.empty();
  private Optional<Failure> refusal = Optional.empty();

  PendingRequest(WorkRequest work, Consumer<Decision.Cancel> onCancel, long createdNanos) {
    this.work = requireNonNull(work, "work");
    this.onCancel = requireNonNull(onCancel, "onCancel");
    this.createdNanos = createdNanos;
  }

  WorkRequest work() {
    return work;
  }

  /** Returns the request with its waited and remaining time as of {@code nowNanos}. */
  WorkRequest workAt(long nowNanos) {
    long sinceCreationMillis = (nowNanos - createdNanos) / NANOS_PER_MILLI;
    return new WorkRequest(
        work.id(),
        work.team(),
        work.pool(),
        work.tier(),
        work.promptTokens(),
        work.maxOutputTokens(),
        work.prefixHashes(),
        work.waitedMillis() + sinceCreationMillis,
        work.remainingMillis() - sinceCreationMillis);
  }

  /** Returns the time of its arrival in the system, on this instance's monotonic clock. */
  long arrivalNanos() {
    return createdNanos - work.waitedMillis() * NANOS_PER_MILLI;
  }

  boolean isWaiting() {
    return permit.isEmpty();
  }

  Optional<GrantedPermit> permit() {
    return permit;
  }

  void setPermit(GrantedPermit changed) {
    permit = Optional.of(changed);
  }

  FailureDomain domain() {
    return domain;
  }

  Optional<InstanceId> scheduler() {
    return scheduler;
  }

  Set<FailureDomain> triedDomains() {
    return triedDomains;
  }

  void assign(FailureDomain changed, Optional<InstanceId> newScheduler) {
    domain = requireNonNull(changed, "changed");
    scheduler = newScheduler;
    triedDomains.add(changed);
  }

  /**
   * Records a refusal, unless a more informative one is known: the first refusal for another reason
   * than {@link FailureType#NO_ENDPOINT} is kept.
   */
  void recordRefusal(Decision.Refuse refuse) {
    Failure failure =
        Failure.notRun(refuse.reason(), "refused by the scheduler of " + domain)
            .withRetryAfter(Duration.ofMillis(refuse.retryAfterMillis()));
    boolean isReplaceable = refusal.filter(old -> old.type() != FailureType.NO_ENDPOINT).isEmpty();
    refusal = isReplaceable ? Optional.of(failure) : refusal;
  }

  Failure refusal() {
    return refusal.orElseGet(
        () ->
            Failure.notRun(
                FailureType.NO_ENDPOINT,
                "no scheduler is reachable, or each refused similar requests in the last 500 ms"));
  }
}
