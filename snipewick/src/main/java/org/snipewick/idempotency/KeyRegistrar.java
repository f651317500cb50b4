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
 * Grants or refuses claims of the keys for which this instance is the registrar. A claim is
 * replicated to a second instance before it is granted. If this instance may have no record of an
 * earlier claim of a key, it queries all other members of the domain first.
 */
final class KeyRegistrar {
  private final RecordStore store;
  private final RegistrarPlacement placement;
  private final RegistrarPeers peers;
  private final CoverageTracker coverage;
  private final LostProcessTracker lostProcessTracker;
  private final ClaimEvidence evidence;
  private final LedgerContext context;
  private final ConcurrentMap<RequestId, CompletableFuture<KeyState>> pendingDecisions =
      new ConcurrentHashMap<>();
  private final ConcurrentMap<String, Takeover> takeovers = new ConcurrentHashMap<>();
  private final AtomicBoolean stopped = new AtomicBoolean();

  KeyRegistrar(
      RecordStore store,
      RegistrarPlacement placement,
      RegistrarPeers peers,
      CoverageTracker coverage,
      LostProcessTracker lostProcessTracker,
      LedgerContext context) {
    this.store = requireNonNull(store, "store");
    this.placement = requireNonNull(placement, "placement");
    this.peers = requireNonNull(peers, "peers");
    this.coverage = requireNonNull(coverage, "coverage");
    this.lostProcessTracker = requireNonNull(lostProcessTracker, "lostProcessTracker");
    this.context = requireNonNull(context, "context");
    this.evidence = new ClaimEvidence(coverage, lostProcessTracker, context, this::resolve);
  }

  /** Stops deciding claims and acting as witness, before the records are handed over. */
  void stop() {
    stopped.set(true);
  }

  /**
   * Decides a claim. A repeated call for the same request returns the pending decision.
   *
   * @return state of the key; {@link KeyState.Fresh} if the claim is granted
   */
  CompletableFuture<KeyState> claim(KeyedRequest request) {
    Optional<Failure> refusal = refusal(request.scopedKey());
    if (refusal.isPresent()) {
      return CompletableFuture.failedFuture(refusal.get().toException());
    }
    CompletableFuture<KeyState> decision = new CompletableFuture<>();
    CompletableFuture<KeyState> pending = pendingDecisions.putIfAbsent(request.id(), decision);
    if (pending != null) {
      return pending;
    }
    decide(request)
        .whenComplete(
            (state, failure) -> {
              pendingDecisions.remove(request.id());
              Futures.complete(state, failure, decision);
            });
    return decision;
  }

  private CompletableFuture<KeyState> decide(KeyedRequest request) {
    long registrarSinceEpochMillis = placement.registrarSinceEpochMillis(request.scopedKey());
    PendingClaim claim =
        new PendingClaim(request, context.deadlineNanos(), registrarSinceEpochMillis);
    KeyRecord record = preparing(request);
    return store
        .addIfAbsent(record)
        .map(known -> answerDuplicate(claim, known))
        .orElseGet(() -> verifyAndReplicate(claim, record, Optional.empty()));
  }

  /** Returns the state of a key without claiming it. */
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
                findEarlierClaim(key, Optional.empty(), context.deadlineNanos())
                    .thenApply(found -> found.map(KeyRegistrar::stateOf).orElse(fresh())));
  }

  /** Answers a claim of a key that has a record. */
  private CompletableFuture<KeyState> answerDuplicate(PendingClaim claim, KeyRecord known) {
    if (!known.matches(claim.request())) {
      return CompletableFuture.failedFuture(
          Failure.notRun(
                  FailureType.KEY_REUSED,
                  "the idempotency key was already used for a different request")
              .toException());
    }
    if (known.request().equals(claim.request().id()) && known.status() == Status.CLAIMED) {
      return CompletableFuture.completedFuture(fresh());
    }
    return resolve(known)
        .thenCompose(
            resolved ->
                resolved.status() == Status.RELEASED
                    ? replaceReleased(claim, known.request())
                    : CompletableFuture.completedFuture(stateOf(resolved)));
  }

  private CompletableFuture<KeyState> replaceReleased(PendingClaim claim, RequestId released) {
    KeyRecord record = preparing(claim.request());
    return store
        .replaceReleased(released, record)
        .map(other -> CompletableFuture.completedFuture(stateOf(other)))
        .orElseGet(() -> verifyAndReplicate(claim, record, Optional.of(released)));
  }

  /**
   * Returns a record with the current status of its request, which is queried from the entry
   * instance that received the request. A request whose entry process no longer runs becomes
   * unknown.
   */
  private CompletableFuture<KeyRecord> resolve(KeyRecord known) {
    if (known.status() == Status.UNKNOWN && context.isAlive(known.request())) {
      return queryUnknownAgain(known);
    }
    if (!known.isOpen()) {
      return CompletableFuture.completedFuture(known);
    }
    if (!context.isAlive(known.request())) {
      return CompletableFuture.completedFuture(
          recordStatus(known, Status.UNKNOWN, Optional.empty()));
    }
    return peers
        .queryRequestStatus(known.request())
        .handle(
            (report, failure) ->
                failure == null && report.status() != Status.CLAIMED
                    ? recordStatus(known, report.status(), report.answer())
                    : known);
  }

  /**
   * Queries the status of a request that was marked unknown while its entry instance was
   * unreachable; the request may have been answered since.
   */
  private CompletableFuture<KeyRecord> queryUnknownAgain(KeyRecord unknown) {
    return peers
        .queryRequestStatus(unknown.request())
        .handle(
            (report, failure) ->
                failure == null && report.status() == Status.RAN
                    ? recordStatus(unknown, Status.RAN, report.answer())
                    : unknown);
  }

  private KeyRecord recordStatus(KeyRecord known, Status status, Optional<StoredAnswer> answer) {
    KeyRecord changed = known.withStatus(status, context.timer().epochMillis()).withAnswer(answer);
    if (status == Status.UNKNOWN || status == Status.RAN) {
      var unused = store.update(changed);
    }
    return changed;
  }

  /**
   * Grants a new claim if no other request holds the key, after the claim is replicated to a second
   * instance. Removes the record of the claim if this fails.
   */
  private CompletableFuture<KeyState> verifyAndReplicate(
      PendingClaim claim, KeyRecord record, Optional<RequestId> supersedes) {
    return findEarlierClaim(record.key(), Optional.of(record.request()), claim.deadlineNanos())
        .thenCompose(
            found ->
                found.isPresent()
                    ? adoptExisting(claim, record, found.get())
                    : peers
                        .replicateToWitness(markClaimed(record), supersedes, claim.deadlineNanos())
                        .thenCompose(knownByWitness -> finishClaim(claim, record, knownByWitness)))
        .whenComplete(
            (state, failure) -> {
              if (failure != null) {
                var unused = store.removeClaim(record.key(), record.request());
              }
            });
  }

  private CompletableFuture<KeyState> finishClaim(
      PendingClaim claim, KeyRecord record, Optional<KeyRecord> knownByWitness) {
    if (knownByWitness.isPresent()) {
      return resolve(knownByWitness.get())
          .thenCompose(
              resolved ->
                  resolved.status() == Status.RELEASED
                      ? verifyAndReplicate(claim, record, Optional.of(resolved.request()))
                      : adoptExisting(claim, record, resolved));
    }
    if (placement.registrarSinceEpochMillis(record.key()) != claim.registrarSinceEpochMillis()) {
      String detail = "the registrar role for the key changed during the claim";
      return CompletableFuture.failedFuture(context.unavailable(detail).toException());
    }
    return refusal(record.key())
        .map(failure -> CompletableFuture.<KeyState>failedFuture(failure.toException()))
        .orElseGet(() -> CompletableFuture.completedFuture(fresh()));
  }

  /** Replaces a prepared claim by the record of another request, and answers with its state. */
  private CompletableFuture<KeyState> adoptExisting(
      PendingClaim claim, KeyRecord prepared, KeyRecord found) {
    var unused = store.removeClaim(prepared.key(), prepared.request());
    if (found.status() == Status.PREPARING) {
      return CompletableFuture.completedFuture(stateOf(found));
    }
    return store
        .addIfAbsent(found)
        .map(known -> answerDuplicate(claim, known))
        .orElseGet(() -> answerDuplicate(claim, found));
  }

  /**
   * Returns an earlier claim of a key, empty if the key was never claimed. Queries the other
   * members if this instance may have no record of an earlier claim.
   *
   * @param claimant request that claims the key, empty for a lookup
   */
  private CompletableFuture<Optional<KeyRecord>> findEarlierClaim(
      String key, Optional<RequestId> claimant, long deadlineNanos) {
    long nowEpochMillis = context.timer().epochMillis();
    if (evidence.isExpired(key, nowEpochMillis)) {
      return CompletableFuture.completedFuture(Optional.of(evidence.unknownClaim(key)));
    }
    if (placement.hasSeenAllClaimsOf(key) && !takeovers.containsKey(key)) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    return peers
        .queryMembers(key, claimant.isPresent(), deadlineNanos)
        .thenCompose(
            reports -> evidence.evaluate(key, claimant, reports, context.timer().epochMillis()));
  }

  private KeyRecord preparing(KeyedRequest request) {
    long nowEpochMillis = context.timer().epochMillis();
    return KeyRecord.claimed(request, nowEpochMillis).withStatus(Status.PREPARING, nowEpochMillis);
  }

  /**
   * Sets the status of a prepared claim to claimed. At this point no earlier claim of the key was
   * found; only the witness may still reply with the record of another request.
   */
  private KeyRecord markClaimed(KeyRecord record) {
    KeyRecord claimed = record.withStatus(Status.CLAIMED, context.timer().epochMillis());
    var unused = store.update(claimed);
    return claimed;
  }

  /**
   * Stores a claim as its witness. Replies with the existing record if another request claimed the
   * key, or that the sender is outranked if a registrar that ranks before it has taken the key
   * over. Fails if this instance is stopping or its record store is full.
   */
  CompletableFuture<IdempotencyMessages.WitnessReply> acceptAsWitness(
      InstanceId registrar, KeyRecord record, Optional<RequestId> supersedes) {
    Takeover takeover = takeovers.get(record.key());
    boolean outranked =
        takeover != null
            && !takeover.registrar().equals(registrar)
            && context.isReachable(takeover.registrar())
            && placement.precedes(takeover.registrar(), registrar, record.key());
    if (stopped.get() || store.isFull()) {
      return CompletableFuture.failedFuture(
          context
              .unavailable(
                  "cannot act as witness: the instance is stopping or its record store is full")
              .toException());
    }
    if (outranked) {
      return CompletableFuture.completedFuture(
          new IdempotencyMessages.WitnessReply(true, Optional.empty()));
    }
    Optional<KeyRecord> known =
        supersedes.isPresent()
            ? store.replaceReleased(supersedes.get(), record)
            : store.addIfAbsent(record);
    return CompletableFuture.completedFuture(
        new IdempotencyMessages.WitnessReply(
            false, known.filter(other -> !other.request().equals(record.request()))));
  }

  /**
   * Reports the record that this instance has of a key, if any, and for which period its records
   * are complete. If the querying registrar takes the key over, this instance stops acting as
   * registrar of the key.
   */
  IdempotencyMessages.KeyReport report(InstanceId registrar, String key, boolean takeOver) {
    if (takeOver) {
      takeovers.put(key, new Takeover(registrar, context.timer().epochMillis()));
    }
    return new IdempotencyMessages.KeyReport(
        store.find(key),
        coverage.current(),
        lostProcessTracker.self(),
        lostProcessTracker.presumedRunning(),
        lostProcessTracker.knownLostProcesses());
  }

  /** Removes takeovers that are older than the retention time of keys. */
  void sweep() {
    long oldestEpochMillis =
        context.timer().epochMillis() - context.settings().keyRetention().toMillis();
    takeovers.values().removeIf(takeover -> takeover.atEpochMillis() < oldestEpochMillis);
  }

  /** Returns why this instance may not act as registrar of a key; empty if it may. */
  private Optional<Failure> refusal(String key) {
    if (stopped.get() || store.isFull() || !placement.mayActAsRegistrar(key)) {
      return Optional.of(
          context.unavailable(
              "the instance is not the active registrar of the key, is stopping, or its record"
                  + " store is full"));
    }
    Takeover takeover = takeovers.get(key);
    boolean takenOver =
        takeover != null && takeover.atEpochMillis() >= placement.registrarSinceEpochMillis(key);
    return takenOver
        ? Optional.of(context.unavailable("the key was taken over by another registrar"))
        : Optional.empty();
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

  private record PendingClaim(
      KeyedRequest request, long deadlineNanos, long registrarSinceEpochMillis) {}

  private record Takeover(InstanceId registrar, long atEpochMillis) {}
}
