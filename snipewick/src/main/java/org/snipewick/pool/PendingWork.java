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

/** A request of this entry instance that waits for a grant or has one; used on one thread only. */
final class PendingWork {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  final CompletableFuture<PoolClient.Permit> result = new CompletableFuture<>();
  final Consumer<Decision.Cancel> onCancel;
  private final WorkRequest work;
  private final long startNanos;
  private final Set<FailureDomain> tried = new HashSet<>();
  private FailureDomain domain;
  private Optional<InstanceId> scheduler = Optional.empty();
  private Optional<GrantedPermit> permit = Optional.empty();
  private Optional<Failure> refusal = Optional.empty();

  PendingWork(WorkRequest work, Consumer<Decision.Cancel> onCancel, long startNanos) {
    this.work = requireNonNull(work, "work");
    this.onCancel = requireNonNull(onCancel, "onCancel");
    this.startNanos = startNanos;
  }

  WorkRequest work() {
    return work;
  }

  /** Returns the request with the times that hold now. */
  WorkRequest workAt(long nowNanos) {
    long since = (nowNanos - startNanos) / NANOS_PER_MILLI;
    return new WorkRequest(
        work.id(),
        work.team(),
        work.pool(),
        work.tier(),
        work.promptTokens(),
        work.maxOutputTokens(),
        work.prefixHashes(),
        work.waitedMillis() + since,
        work.remainingMillis() - since);
  }

  /** Returns when it came to the system, on this instance's monotonic clock. */
  long arrivalNanos() {
    return startNanos - work.waitedMillis() * NANOS_PER_MILLI;
  }

  boolean isWaiting() {
    return permit.isEmpty();
  }

  Optional<GrantedPermit> permit() {
    return permit;
  }

  void granted(GrantedPermit changed) {
    permit = Optional.of(changed);
  }

  FailureDomain domain() {
    return domain;
  }

  Optional<InstanceId> scheduler() {
    return scheduler;
  }

  Set<FailureDomain> tried() {
    return tried;
  }

  void directTo(FailureDomain changed, Optional<InstanceId> instance) {
    domain = requireNonNull(changed, "changed");
    scheduler = instance;
    tried.add(changed);
  }

  /** Keeps the refusal that says most: one under load rather than one for want of endpoints. */
  void refused(Decision.Refuse refuse) {
    Failure failure =
        Failure.notRun(refuse.reason(), "refused by the scheduler of " + domain)
            .withRetryAfter(Duration.ofMillis(refuse.retryAfterMillis()));
    boolean isFirst = refusal.filter(old -> old.type() != FailureType.NO_ENDPOINT).isEmpty();
    refusal = isFirst ? Optional.of(failure) : refusal;
  }

  Failure refusal() {
    return refusal.orElseGet(
        () -> Failure.notRun(FailureType.NO_ENDPOINT, "no scheduler can be reached"));
  }
}
