package org.snipewick.idempotency;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicBoolean;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.idempotency.KeyRecord.Status;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.RequestId;

/**
 * Decides claims of the keys whose registrar this instance is. A claim is known to two instances
 * before it is granted; a key that this instance may have missed is asked for at all others first.
 */
final class KeyRegistrar {
  private final RecordStore store;
  private final RegistrarPlacement placement;
  private final RegistrarPeers peers;
  private final CoverageTracker coverage;
  private final LossTracker losses;
  private final ClaimEvidence evidence;
  private final LedgerContext context;
  private final ConcurrentMap<RequestId, CompletableFuture<KeyState>> pending =
      new ConcurrentHashMap<>();
  private final ConcurrentMap<String, TakenOver> takenOver = new ConcurrentHashMap<>();
  private final AtomicBoolean stopped = new AtomicBoolean();

  KeyRegistrar(
      RecordStore store,
      RegistrarPlacement placement,
      RegistrarPeers peers,
      CoverageTracker coverage,
      LossTracker losses,
      LedgerContext context) {
    this.store = requireNonNull(store, "store");
    this.placement = requireNonNull(placement, "placement");
    this.peers = requireNonNull(peers, "peers");
    this.coverage = requireNonNull(coverage, "coverage");
    this.losses = requireNonNull(losses, "losses");
    this.context = requireNonNull(context, "context");
    this.evidence = new ClaimEvidence(coverage, losses, context, this::resolve);
  }

  /** Stops to decide claims and to be witness; the records are about to be handed over. */
  void stop() {
    stopped.set(true);
  }

  CompletableFuture<KeyState> claim(KeyedRequest request) {
    Optional<Failure> refusal = refusal(request.scopedKey());
    if (refusal.isPresent()) {
      return CompletableFuture.failedFuture(refusal.get().toException());
    }
    CompletableFuture<KeyState> decided = new CompletableFuture<>();
    CompletableFuture<KeyState> earlier = pending.putIfAbsent(request.id(), decided);
    if (earlier != null) {
      return earlier;
    }
    decide(request)
        .whenComplete(
            (state, failure) -> {
              pending.remove(request.id());
              Futures.pass(state, failure, decided);
            });
    return decided;
  }

  private CompletableFuture<KeyState> decide(KeyedRequest request) {
    long since = placement.registrarSinceEpochMillis(request.scopedKey());
    Claim claim = new Claim(request, context.deadlineNanos(), since);
    KeyRecord record = preparing(request);
    return store
        .addIfAbsent(record)
        .map(known -> repeat(claim, known))
        .orElseGet(() -> establish(claim, record, Optional.empty()));
  }

  /** Says what is known of a key without claiming it. */
  CompletableFuture<KeyState> lookup(KeyedRequest request) {
    String key = request.scopedKey();
    Optional<Failure> refusal = refusal(key);
    if (refusal.isPresent()) {
      return CompletableFuture.failedFuture(refusal.get().toException());
    }
    return store
        .find(key)
        .map(known -> resolve(known).thenApply(KeyRegistrar::stateOf))
        .orElseGet(
            () ->
                search(key, Optional.empty(), context.deadlineNanos())
                    .thenApply(found -> found.map(KeyRegistrar::stateOf).orElse(fresh())));
  }

  /** Answers a claim of a key that is known. */
  private CompletableFuture<KeyState> repeat(Claim claim, KeyRecord known) {
    if (!known.matches(claim.request())) {
      return CompletableFuture.failedFuture(
          Failure.notRun(FailureType.KEY_REUSED, "the key belongs to another request")
              .toException());
    }
    if (known.request().equals(claim.request().id()) && known.status() == Status.CLAIMED) {
      return CompletableFuture.completedFuture(fresh());
    }
    return resolve(known)
        .thenCompose(
            resolved ->
                resolved.status() == Status.RELEASED
                    ? replace(claim, known.request())
                    : CompletableFuture.completedFuture(stateOf(resolved)));
  }

  private CompletableFuture<KeyState> replace(Claim claim, RequestId released) {
    KeyRecord record = preparing(claim.request());
    return store
        .replaceReleased(released, record)
        .map(other -> CompletableFuture.completedFuture(stateOf(other)))
        .orElseGet(() -> establish(claim, record, Optional.of(released)));
  }

  /** Finds out at the entry of a claimed call what became of it. */
  private CompletableFuture<KeyRecord> resolve(KeyRecord known) {
    if (known.status() == Status.UNKNOWN && context.isAlive(known.request())) {
      return askAgain(known);
    }
    if (!known.isOpen()) {
      return CompletableFuture.completedFuture(known);
    }
    if (!context.isAlive(known.request())) {
      return CompletableFuture.completedFuture(settle(known, Status.UNKNOWN, Optional.empty()));
    }
    return peers
        .confirm(known.request())
        .handle(
            (confirmed, failure) ->
                failure == null && confirmed.status() != Status.CLAIMED
                    ? settle(known, confirmed.status(), confirmed.answer())
                    : known);
  }

  /** Finds an answer whose call was held for unknown while its entry could not be reached. */
  private CompletableFuture<KeyRecord> askAgain(KeyRecord unknown) {
    return peers
        .confirm(unknown.request())
        .handle(
            (confirmed, failure) ->
                failure == null && confirmed.status() == Status.RAN
                    ? settle(unknown, Status.RAN, confirmed.answer())
                    : unknown);
  }

  private KeyRecord settle(KeyRecord known, Status status, Optional<StoredAnswer> answer) {
    KeyRecord settled = known.withStatus(status, context.timer().epochMillis()).withAnswer(answer);
    if (status == Status.UNKNOWN || status == Status.RAN) {
      var unused = store.update(settled);
    }
    return settled;
  }

  /** Makes a new claim known to a second instance before it is granted. */
  private CompletableFuture<KeyState> establish(
      Claim claim, KeyRecord record, Optional<RequestId> supersedes) {
    return search(record.key(), Optional.of(record.request()), claim.deadlineNanos())
        .thenCompose(
            found ->
                found.isPresent()
                    ? adopt(claim, record, found.get())
                    : peers
                        .note(claimed(record), supersedes, claim.deadlineNanos())
                        .thenCompose(noted -> conclude(claim, record, noted)))
        .whenComplete(
            (state, failure) -> {
              if (failure != null) {
                var unused = store.removeClaim(record.key(), record.request());
              }
            });
  }

  private CompletableFuture<KeyState> conclude(
      Claim claim, KeyRecord record, Optional<KeyRecord> knownByWitness) {
    if (knownByWitness.isPresent()) {
      return resolve(knownByWitness.get())
          .thenCompose(
              resolved ->
                  resolved.status() == Status.RELEASED
                      ? establish(claim, record, Optional.of(resolved.request()))
                      : adopt(claim, record, resolved));
    }
    if (placement.registrarSinceEpochMillis(record.key()) != claim.sinceEpochMillis()) {
      String detail = "became registrar anew during the claim";
      return CompletableFuture.failedFuture(context.unavailable(detail).toException());
    }
    return refusal(record.key())
        .map(failure -> CompletableFuture.<KeyState>failedFuture(failure.toException()))
        .orElseGet(() -> CompletableFuture.completedFuture(fresh()));
  }

  private CompletableFuture<KeyState> adopt(Claim claim, KeyRecord mine, KeyRecord found) {
    var unused = store.removeClaim(mine.key(), mine.request());
    if (found.status() == Status.PREPARING) {
      return CompletableFuture.completedFuture(stateOf(found));
    }
    return store
        .addIfAbsent(found)
        .map(known -> repeat(claim, known))
        .orElseGet(() -> repeat(claim, found));
  }

  /** Looks for a key that this instance may have missed; empty if it was never claimed. */
  private CompletableFuture<Optional<KeyRecord>> search(
      String key, Optional<RequestId> claimant, long deadlineNanos) {
    long now = context.timer().epochMillis();
    if (evidence.isExpired(key, now)) {
      return CompletableFuture.completedFuture(Optional.of(evidence.doubtful(key)));
    }
    if (placement.knowsAllClaimsOf(key) && !takenOver.containsKey(key)) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    return peers
        .askAll(key, claimant.isPresent(), deadlineNanos)
        .thenCompose(told -> evidence.judge(key, claimant, told, context.timer().epochMillis()));
  }

  private KeyRecord preparing(KeyedRequest request) {
    long now = context.timer().epochMillis();
    return KeyRecord.claimed(request, now).withStatus(Status.PREPARING, now);
  }

  /** Notes that nobody else has the key, which is now the claimant's unless a witness objects. */
  private KeyRecord claimed(KeyRecord record) {
    KeyRecord claimed = record.withStatus(Status.CLAIMED, context.timer().epochMillis());
    var unused = store.update(claimed);
    return claimed;
  }

  /** Takes a note as witness; returns another record of the key if there is one. */
  CompletableFuture<IdempotencyMessages.Noted> note(
      InstanceId registrar, KeyRecord record, Optional<RequestId> supersedes) {
    TakenOver taken = takenOver.get(record.key());
    boolean outranked =
        taken != null
            && !taken.registrar().equals(registrar)
            && context.isReachable(taken.registrar())
            && placement.precedes(taken.registrar(), registrar, record.key());
    if (stopped.get() || store.isFull()) {
      return CompletableFuture.failedFuture(context.unavailable("not a witness").toException());
    }
    if (outranked) {
      return CompletableFuture.completedFuture(
          new IdempotencyMessages.Noted(true, Optional.empty()));
    }
    Optional<KeyRecord> known =
        supersedes.isPresent()
            ? store.replaceReleased(supersedes.get(), record)
            : store.addIfAbsent(record);
    return CompletableFuture.completedFuture(
        new IdempotencyMessages.Noted(
            false, known.filter(other -> !other.request().equals(record.request()))));
  }

  /** Tells a new registrar what is known, and leaves the key to it. */
  IdempotencyMessages.Told ask(InstanceId registrar, String key, boolean takeOver) {
    if (takeOver) {
      takenOver.put(key, new TakenOver(registrar, context.timer().epochMillis()));
    }
    return new IdempotencyMessages.Told(
        store.find(key),
        coverage.current(),
        losses.self(),
        losses.believedRunning(),
        losses.known());
  }

  /** Forgets which keys were left to others longer ago than the retention time. */
  void sweep() {
    long oldest = context.timer().epochMillis() - context.settings().keyRetention().toMillis();
    takenOver.values().removeIf(taken -> taken.atEpochMillis() < oldest);
  }

  private Optional<Failure> refusal(String key) {
    if (stopped.get() || store.isFull() || !placement.mayActAsRegistrar(key)) {
      return Optional.of(context.unavailable("not the registrar of this key"));
    }
    TakenOver taken = takenOver.get(key);
    boolean left =
        taken != null && taken.atEpochMillis() >= placement.registrarSinceEpochMillis(key);
    return left ? Optional.of(context.unavailable("left to another registrar")) : Optional.empty();
  }

  private static KeyState fresh() {
    return new KeyState.Fresh();
  }

  private static KeyState stateOf(KeyRecord record) {
    return switch (record.status()) {
      case RELEASED -> fresh();
      case PREPARING, CLAIMED -> new KeyState.InProgress();
      case UNKNOWN -> new KeyState.Unknown();
      case RAN ->
          record
              .answer()
              .<KeyState>map(KeyState.Ran::new)
              .orElseGet(KeyState.RanWithoutAnswer::new);
    };
  }

  private record Claim(KeyedRequest request, long deadlineNanos, long sinceEpochMillis) {}

  private record TakenOver(InstanceId registrar, long atEpochMillis) {}
}
