package org.snipewick.idempotency;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.snipewick.failure.FailureException;
import org.snipewick.idempotency.IdempotencyMessages.Acknowledged;
import org.snipewick.idempotency.IdempotencyMessages.Ask;
import org.snipewick.idempotency.IdempotencyMessages.Claim;
import org.snipewick.idempotency.IdempotencyMessages.Confirm;
import org.snipewick.idempotency.IdempotencyMessages.HandOver;
import org.snipewick.idempotency.IdempotencyMessages.HandedOver;
import org.snipewick.idempotency.IdempotencyMessages.Lookup;
import org.snipewick.idempotency.IdempotencyMessages.Note;
import org.snipewick.idempotency.IdempotencyMessages.State;
import org.snipewick.idempotency.IdempotencyMessages.Update;
import org.snipewick.idempotency.KeyRecord.Status;
import org.snipewick.identity.InstanceId;
import org.snipewick.membership.Membership;
import org.snipewick.peer.PeerMessage;
import org.snipewick.peer.PeerNetwork;
import org.snipewick.time.TimerService;

/**
 * Ledger of model requests and reads, kept in the memory of the entry instances: each key has a
 * registrar in its home domain, and a claim is known to two instances before it is granted.
 */
public final class RegistrarLedger implements RequestLedger {
  private static final Duration RETRY_DELAY = Duration.ofMillis(50);
  private static final Duration SWEEP_PERIOD = Duration.ofSeconds(5);

  private final PeerNetwork network;
  private final LedgerContext context;
  private final RegistrarPlacement placement;
  private final RecordStore store;
  private final EntryClaims entries;
  private final CoverageTracker coverage;
  private final LossTracker losses;
  private final KeyRegistrar registrar;

  private RegistrarLedger(PeerNetwork network, LedgerContext context, LossHistory history) {
    this.network = requireNonNull(network, "network");
    this.context = context;
    Duration retention = context.settings().keyRetention();
    this.placement =
        RegistrarPlacement.of(context.membership(), context.timer(), context.settings());
    this.store = RecordStore.of(context.timer(), retention);
    this.entries = EntryClaims.of(store, context.timer(), retention);
    this.coverage = CoverageTracker.of(context.membership());
    this.losses = LossTracker.of(context.membership(), history, context.timer());
    RegistrarPeers peers = new RegistrarPeers(network, placement, context);
    this.registrar = new KeyRegistrar(store, placement, peers, coverage, losses, context);
  }

  /**
   * Creates the ledger of an instance and sets its message handlers.
   *
   * @param network network of the instance
   * @param membership view of the members
   * @param history losses in the own domain
   * @param timer time
   * @param settings times and limits
   * @return ledger
   */
  public static RegistrarLedger of(
      PeerNetwork network,
      Membership membership,
      LossHistory history,
      TimerService timer,
      LedgerSettings settings) {
    LedgerContext context = new LedgerContext(membership, timer, settings);
    RegistrarLedger ledger = new RegistrarLedger(network, context, history);
    ledger.listen();
    var unused = timer.every(SWEEP_PERIOD, ledger.registrar::sweep);
    return ledger;
  }

  LedgerContext context() {
    return context;
  }

  /** Notes that no claims were remembered in the domain when this instance started. */
  public void proveEmpty() {
    coverage.proveEmpty();
  }

  /**
   * Hands all records over before a planned stop. From the call on, this instance decides no more
   * claims; those that it received itself go on.
   *
   * @return completes when all other members know; a failure means that the stop counts as a loss
   */
  public CompletableFuture<Void> handOver() {
    registrar.stop();
    return new RecordHandOver(network, placement, context)
        .run(store.all().stream().filter(KeyRecord::isProved).toList(), coverage.current());
  }

  @Override
  public CompletableFuture<KeyState> claim(KeyedRequest request) {
    KeyRecord mine = entries.begin(request);
    return call(request, new Claim(request))
        .whenComplete(
            (state, failure) -> {
              if (state instanceof KeyState.Fresh) {
                store.put(mine);
              } else {
                abandon(request, failure != null);
              }
            });
  }

  private void abandon(KeyedRequest request, boolean inDoubt) {
    KeyRecord released = entries.end(request, Status.RELEASED);
    if (inDoubt) {
      placement
          .registrar(placement.home(request), request.scopedKey())
          .ifPresent(instance -> network.send(instance, new Update(released, true)));
    }
  }

  @Override
  public CompletableFuture<Void> releaseNotRun(KeyedRequest request) {
    KeyRecord released = entries.end(request, Status.RELEASED);
    var unused = store.update(released);
    return update(request, released);
  }

  @Override
  public CompletableFuture<Void> complete(KeyedRequest request, StoredAnswer answer) {
    KeyRecord ran = entries.end(request, Status.RAN).withAnswer(Optional.of(answer));
    var unused = store.update(ran);
    return update(request, ran);
  }

  @Override
  public CompletableFuture<Void> markUnknown(KeyedRequest request) {
    KeyRecord unknown = entries.end(request, Status.UNKNOWN);
    var unused = store.update(unknown);
    return update(request, unknown);
  }

  @Override
  public CompletableFuture<KeyState> lookup(KeyedRequest request) {
    return call(request, new Lookup(request));
  }

  private CompletableFuture<Void> update(KeyedRequest request, KeyRecord record) {
    Update update = new Update(boundAnswer(record), true);
    return attempts(request, update, context.deadlineNanos()).thenApply(reply -> null);
  }

  private KeyRecord boundAnswer(KeyRecord record) {
    return record.withAnswer(record.answer().filter(RecordStore::isHeld));
  }

  private CompletableFuture<KeyState> call(KeyedRequest request, PeerMessage message) {
    return attempts(request, message, context.deadlineNanos())
        .thenApply(reply -> ((State) reply).state());
  }

  private CompletableFuture<PeerMessage> attempts(
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
          context.unavailable("home domain of the key is not reachable").toException());
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
                    retry(
                        failure,
                        deadlineNanos,
                        result,
                        () -> attempt(request, message, deadlineNanos, result));
                  }
                });
  }

  private void retry(
      Throwable failure,
      long deadlineNanos,
      CompletableFuture<PeerMessage> result,
      Runnable again) {
    if (!RegistrarPeers.isPassing(failure)) {
      result.completeExceptionally(FailureException.unwrap(failure).toException());
    } else if (context.timer().nanoTime() - deadlineNanos >= 0) {
      String detail = "the key's registrar does not answer";
      result.completeExceptionally(context.unavailable(detail).toException());
    } else {
      var unused = context.timer().after(RETRY_DELAY, again);
    }
  }

  private void listen() {
    network.handle(Claim.class, (from, claim) -> answer(() -> registrar.claim(claim.request())));
    network.handle(
        Lookup.class, (from, lookup) -> answer(() -> registrar.lookup(lookup.request())));
    network.handle(
        Note.class, (from, note) -> registrar.note(from, note.record(), note.supersedes()));
    network.handle(Ask.class, (from, ask) -> done(registrar.ask(from, ask.key(), ask.takeOver())));
    network.handle(Confirm.class, (from, confirm) -> done(entries.confirm(confirm.request())));
    network.handle(Update.class, (from, update) -> done(receive(update)));
    network.handle(HandOver.class, (from, records) -> done(receive(records)));
    network.handle(HandedOver.class, (from, notice) -> done(receive(from, notice)));
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

  private Acknowledged receive(HandOver handOver) {
    handOver.records().forEach(store::update);
    return new Acknowledged(true);
  }

  private Acknowledged receive(InstanceId from, HandedOver notice) {
    losses.handedOver(from, notice.incarnation());
    coverage.inherit(notice.coverage());
    return new Acknowledged(true);
  }

  private static CompletableFuture<PeerMessage> done(PeerMessage reply) {
    return CompletableFuture.completedFuture(reply);
  }

  private static CompletableFuture<PeerMessage> answer(
      Supplier<CompletableFuture<KeyState>> state) {
    return state.get().thenApply(State::new);
  }
}
