package org.snipewick.idempotency;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.CompletableFuture;

/** Ledger that keeps actions in the platform's table and all other calls in memory. */
public final class RoutingLedger implements RequestLedger {
  private final RequestLedger actions;
  private final RequestLedger others;

  private RoutingLedger(RequestLedger actions, RequestLedger others) {
    this.actions = requireNonNull(actions, "actions");
    this.others = requireNonNull(others, "others");
  }

  /**
   * Joins two ledgers.
   *
   * @param actions ledger of calls whose effects must not be doubled
   * @param others ledger of model requests and reads
   * @return ledger of all calls
   */
  public static RoutingLedger of(RequestLedger actions, RequestLedger others) {
    return new RoutingLedger(actions, others);
  }

  @Override
  public CompletableFuture<KeyState> claim(KeyedRequest request) {
    return ledgerOf(request).claim(request);
  }

  @Override
  public CompletableFuture<Void> releaseNotRun(KeyedRequest request) {
    return ledgerOf(request).releaseNotRun(request);
  }

  @Override
  public CompletableFuture<Void> complete(KeyedRequest request, StoredAnswer answer) {
    return ledgerOf(request).complete(request, answer);
  }

  @Override
  public CompletableFuture<Void> markUnknown(KeyedRequest request) {
    return ledgerOf(request).markUnknown(request);
  }

  /**
   * Asks both ledgers, as one who asks for an outcome need not say what kind of call it was.
   *
   * @param request the key; its fingerprint and kind are ignored
   * @return what is known; {@link KeyState.Fresh} only if neither ledger knows the key
   */
  @Override
  public CompletableFuture<KeyState> lookup(KeyedRequest request) {
    CompletableFuture<KeyState> fromOthers = others.lookup(request);
    return actions
        .lookup(request)
        .handle(
            (state, failure) -> {
              boolean known = failure == null && !(state instanceof KeyState.Fresh);
              return known
                  ? CompletableFuture.completedFuture(state)
                  : fromOthers.thenCompose(other -> choose(other, failure));
            })
        .thenCompose(state -> state);
  }

  private static CompletableFuture<KeyState> choose(KeyState other, Throwable actionFailure) {
    return other instanceof KeyState.Fresh && actionFailure != null
        ? CompletableFuture.failedFuture(actionFailure)
        : CompletableFuture.completedFuture(other);
  }

  private RequestLedger ledgerOf(KeyedRequest request) {
    return request.action() ? actions : others;
  }
}
