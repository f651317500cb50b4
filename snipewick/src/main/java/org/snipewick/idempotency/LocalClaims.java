package org.snipewick.idempotency;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.snipewick.idempotency.IdempotencyMessages.RequestStatusReport;
import org.snipewick.idempotency.KeyRecord.Status;
import org.snipewick.identity.RequestId;
import org.snipewick.time.TimerService;

/** Status of the requests that this instance received; authoritative for all other instances. */
final class LocalClaims {
  private static final Duration SWEEP_PERIOD = Duration.ofSeconds(5);

  private final ConcurrentMap<RequestId, KeyRecord> claims = new ConcurrentHashMap<>();
  private final RecordStore store;
  private final TimerService timer;
  private final long retentionMillis;

  private LocalClaims(RecordStore store, TimerService timer, Duration retention) {
    this.store = requireNonNull(store, "store");
    this.timer = requireNonNull(timer, "timer");
    this.retentionMillis = 2 * retention.toMillis();
  }

  static LocalClaims of(RecordStore store, TimerService timer, Duration retention) {
    LocalClaims claims = new LocalClaims(store, timer, retention);
    var unused = timer.every(SWEEP_PERIOD, claims::sweep);
    return claims;
  }

  KeyRecord begin(KeyedRequest request) {
    KeyRecord record = KeyRecord.claimed(request, timer.epochMillis());
    claims.put(request.id(), record);
    return record;
  }

  KeyRecord end(KeyedRequest request, Status status) {
    KeyRecord record = KeyRecord.claimed(request, timer.epochMillis());
    KeyRecord ended = record.withStatus(status, timer.epochMillis());
    claims.put(request.id(), ended);
    return ended;
  }

  /**
   * Returns the status of a request, for a registrar. A request without a record is reported as
   * unknown, never as released: only a recorded release proves that the request is not dispatched.
   */
  RequestStatusReport report(RequestId request) {
    KeyRecord claim = claims.get(request);
    if (claim == null) {
      return new RequestStatusReport(Status.UNKNOWN, Optional.empty());
    }
    Optional<StoredAnswer> answer =
        store
            .find(claim.key())
            .filter(record -> record.request().equals(request))
            .flatMap(KeyRecord::answer);
    return new RequestStatusReport(claim.status(), answer);
  }

  private void sweep() {
    long oldestEpochMillis = timer.epochMillis() - retentionMillis;
    claims
        .values()
        .removeIf(
            claim ->
                claim.status() != Status.CLAIMED
                    && claim.changedAtEpochMillis() < oldestEpochMillis);
  }
}
