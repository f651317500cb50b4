package org.snipewick.idempotency;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.snipewick.idempotency.IdempotencyMessages.Confirmed;
import org.snipewick.idempotency.KeyRecord.Status;
import org.snipewick.identity.RequestId;
import org.snipewick.time.TimerService;

/** What became of the calls that this instance received; its word on them is final. */
final class EntryClaims {
  private static final Duration SWEEP_PERIOD = Duration.ofSeconds(5);

  private final ConcurrentMap<RequestId, KeyRecord> claims = new ConcurrentHashMap<>();
  private final RecordStore store;
  private final TimerService timer;
  private final long retentionMillis;

  private EntryClaims(RecordStore store, TimerService timer, Duration retention) {
    this.store = requireNonNull(store, "store");
    this.timer = requireNonNull(timer, "timer");
    this.retentionMillis = 2 * retention.toMillis();
  }

  static EntryClaims of(RecordStore store, TimerService timer, Duration retention) {
    EntryClaims claims = new EntryClaims(store, timer, retention);
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
   * Answers a registrar. A call that is no longer remembered is unknown, never released: only a
   * release that is remembered proves that the call is not dispatched.
   */
  Confirmed confirm(RequestId request) {
    KeyRecord claim = claims.get(request);
    if (claim == null) {
      return new Confirmed(Status.UNKNOWN, Optional.empty());
    }
    Optional<StoredAnswer> answer =
        store
            .find(claim.key())
            .filter(record -> record.request().equals(request))
            .flatMap(KeyRecord::answer);
    return new Confirmed(claim.status(), answer);
  }

  private void sweep() {
    long oldest = timer.epochMillis() - retentionMillis;
    claims
        .values()
        .removeIf(
            claim -> claim.status() != Status.CLAIMED && claim.changedAtEpochMillis() < oldest);
  }
}
