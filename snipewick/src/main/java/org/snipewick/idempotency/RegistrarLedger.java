package org.snipewick.idempotency;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.snipewick.failure.FailureException;
import org.snipewick.idempotency.IdempotencyMessages.Acknowledged;
import org.snipewick.idempotency.IdempotencyMessages.Claim;
import org.snipewick.idempotency.IdempotencyMessages.HandoverComplete;
import org.snipewick.idempotency.IdempotencyMessages.HandoverRecords;
import org.snipewick.idempotency.IdempotencyMessages.KeyQuery;
import org.snipewick.idempotency.IdempotencyMessages.Lookup;
import org.snipewick.idempotency.IdempotencyMessages.RequestStatusQuery;
import org.snipewick.idempotency.IdempotencyMessages.StateReply;
import org.snipewick.idempotency.IdempotencyMessages.Update;
import org.snipewick.idempotency.IdempotencyMessages.WitnessRequest;
import org.snipewick.idempotency.KeyRecord.Status;
import org.snipewick.identity.InstanceId;
import org.snipewick.membership.Membership;
import org.snipewick.peer.PeerMessage;
import org.snipewick.peer.PeerNetwork;
import org.snipewick.time.TimerService;

/**
 * Ledger of model requests and reads, kept in the memory of the entry instances. Each key has a
 * registrar in its home domain, and a claim is replicated to a second instance before it is
 * granted.
 */
public final class RegistrarLedger implements RequestLedger {
  private static final Duration RETRY_DELAY = Duration.ofMillis(50);
  private static final Duration SWEEP_PERIOD = Duration.ofSeconds(5);

  private final PeerNetwork network;
  private final LedgerContext context;
  private final RegistrarPlacement placement;
  private final RecordStore store;
  private final LocalClaims localClaims;
  private final CoverageTracker coverage;
  private final LostProcessTracker lostProcessTracker;
  private final KeyRegistrar registrar;

  private RegistrarLedger(PeerNetwork network, LedgerContext context, LostProcessHistory history) {
    this.network = requireNonNull(network, "network");
    this.context = context;
    Duration retention = context.settings().keyRetention();
    this.placement =
        RegistrarPlacement.of(context.membership(), context.timer(), context.settings());
    this.store = RecordStore.of(context.timer(), retention);
    this.localClaims = LocalClaims.of(store, context.timer(), retention);
    this.coverage = CoverageTracker.of(context.membership());
    this.lostProcessTracker = LostProcessTracker.of(context.membership(), history, context.timer());
    RegistrarPeers peers = new RegistrarPeers(network, placement, context);
    this.registrar =
        new KeyRegistrar(store, placement, peers, coverage, lostProcessTracker, context);
  }

  /**
   * Creates the ledger of an instance and registers its message handlers.
   *
   * @param network network of the instance
   * @param membership view of the members
   * @param history processes lost in the local domain
   * @param timer clock and timers
   * @param settings retention times and timeouts
   * @return ledger
   */
  public static RegistrarLedger of(
      PeerNetwork network,
      Membership membership,
      LostProcessHistory history,
      TimerService timer,
      LedgerSettings settings) {
    LedgerContext context = new LedgerContext(membership, timer, settings);
    RegistrarLedger ledger = new RegistrarLedger(network, context, history);
    ledger.registerHandlers();
    var unused = timer.every(SWEEP_PERIOD, ledger.registrar::sweep);
    return ledger;
  }

  LedgerContext context() {
    return context;
  }

  /** Marks that no claims were recorded in the local domain when this instance started. */
  public void markInitiallyEmpty() {
    coverage.markInitiallyEmpty();
  }

  /**
   * Hands all records over before a planned stop. Once this method is called, this instance decides
   * no more claims as a registrar; it still handles requests that it received itself.
   *
   * @return future that completes when all other members have acknowledged the handover; after a
   *     failure the stopped process counts as lost
   */
  public CompletableFuture<Void> handOver() {
    registrar.stop();
    return new RecordHandover(network, placement, context)
        .run(store.all().stream().filter(KeyRecord::isVerified).toList(), coverage.current());
  }

  @Override
  public CompletableFuture<KeyState> claim(KeyedRequest request) {
    KeyRecord claimed = localClaims.begin(request);
    return fetchKeyState(request, new Claim(request))
        .whenComplete(
            (state, failure) -> {
              if (state instanceof KeyState.Fresh) {
                store.put(claimed);
              } else {
                cancelClaim(request, failure != null);
              }
            });
  }

  private void cancelClaim(KeyedRequest request, boolean mayBeGranted) {
    KeyRecord released = localClaims.end(request, Status.RELEASED);
    if (mayBeGranted) {
      placement
          .registrar(placement.home(request), request.scopedKey())
          .ifPresent(instance -> network.send(instance, new Update(released, true)));
    }
  }

  @Override
  public CompletableFuture<Void> releaseNotRun(KeyedRequest request) {
    KeyRecord released = localClaims.end(request, Status.RELEASED);
    var unused = store.update(released);
    return update(request, released);
  }

  @Override
  public CompletableFuture<Void> complete(KeyedRequest request, StoredAnswer answer) {
    KeyRecord ran = localClaims.end(request, Status.RAN).withAnswer(Optional.of(answer));
    var unused = store.update(ran);
    return update(request, ran);
  }

  @Override
  public CompletableFuture<Void> markUnknown(KeyedRequest request) {
    KeyRecord unknown = localClaims.end(request, Status.UNKNOWN);
    var unused = store.update(unknown);
    return update(request, unknown);
  }

  @Override
  public CompletableFuture<KeyState> lookup(KeyedRequest request) {
    return fetchKeyState(request, new Lookup(request));
  }

  private CompletableFuture<Void> update(KeyedRequest request, KeyRecord record) {
    Update update = new Update(dropOversizedAnswer(record), true);
    return callRegistrar(request, update, context.deadlineNanos()).thenApply(reply -> null);
  }

  private KeyRecord dropOversizedAnswer(KeyRecord record) {
    return record.withAnswer(record.answer().filter(RecordStore::isStorable));
  }

  private CompletableFuture<KeyState> fetchKeyState(KeyedRequest request, PeerMessage message) {
    return callRegistrar(request, message, context.deadlineNanos())
        .thenApply(reply -> ((StateReply) reply).state());
  }

  private CompletableFuture<PeerMessage> callRegistrar(
      KeyedRequest request, PeerMessage message, long deadlineNanos) {
    CompletableFuture<PeerMessage> result = new CompletableFuture<>();
    attempt(request, message, deadlineNanos, result);
    return result;
  }

  private void attempt(
      KeyedRequest request,
      PeerMessage message,
      long deadlineNanos,
      CompletableFuture<PeerMessage> result) {
    Optional<InstanceId> target = placement.registrar(placement.home(request), request.scopedKey());
    if (target.isEmpty()) {
      result.completeExceptionally(
          context.unavailable("no instance of the key's home domain is alive").toException());
      return;
    }
    var unused =
        network
            .call(target.get(), message, context.settings().peerTimeout())
            .whenComplete(
                (reply, failure) -> {
                  if (failure == null) {
                    result.complete(reply);
                  } else {
                    retryOrFail(
                        failure,
                        deadlineNanos,
                        result,
                        () -> attempt(request, message, deadlineNanos, result));
                  }
                });
  }

  private void retryOrFail(
      Throwable failure,
      long deadlineNanos,
      CompletableFuture<PeerMessage> result,
      Runnable attempt) {
    if (!RegistrarPeers.isTransient(failure)) {
      result.completeExceptionally(FailureException.unwrap(failure).toException());
    } else if (context.timer().nanoTime() - deadlineNanos >= 0) {
      String detail = "the registrar of the key does not respond";
      result.completeExceptionally(context.unavailable(detail).toException());
    } else {
      var unused = context.timer().after(RETRY_DELAY, attempt);
    }
  }

  private void registerHandlers() {
    network.handle(
        Claim.class, (from, claim) -> stateReply(() -> registrar.claim(claim.request())));
    network.handle(
        Lookup.class, (from, lookup) -> stateReply(() -> registrar.lookup(lookup.request())));
    network.handle(
        WitnessRequest.class,
        (from, request) -> registrar.acceptAsWitness(from, request.record(), request.supersedes()));
    network.handle(
        KeyQuery.class,
        (from, query) -> completed(registrar.report(from, query.key(), query.takeOver())));
    network.handle(
        RequestStatusQuery.class, (from, query) -> completed(localClaims.report(query.request())));
    network.handle(Update.class, (from, update) -> completed(receive(update)));
    network.handle(HandoverRecords.class, (from, records) -> completed(receive(records)));
    network.handle(HandoverComplete.class, (from, notice) -> completed(receive(from, notice)));
  }

  private Acknowledged receive(Update update) {
    boolean changed = store.update(update.record());
    if (update.forward()) {
      placement.witnesses(update.record().key()).stream()
          .findFirst()
          .ifPresent(witness -> network.send(witness, new Update(update.record(), false)));
    }
    return new Acknowledged(changed);
  }

  private Acknowledged receive(HandoverRecords handover) {
    handover.records().forEach(store::update);
    return new Acknowledged(true);
  }

  private Acknowledged receive(InstanceId from, HandoverComplete notice) {
    lostProcessTracker.recordHandover(from, notice.incarnation());
    coverage.addHandedOver(notice.coverage());
    return new Acknowledged(true);
  }

  private static CompletableFuture<PeerMessage> completed(PeerMessage reply) {
    return CompletableFuture.completedFuture(reply);
  }

  private static CompletableFuture<PeerMessage> stateReply(
      Supplier<CompletableFuture<KeyState>> state) {
    return state.get().thenApply(StateReply::new);
  }
}
