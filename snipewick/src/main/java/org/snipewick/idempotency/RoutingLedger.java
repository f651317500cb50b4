package org.snipewick.idempotency;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.CompletableFuture;

/**
 * Ledger that delegates actions to one ledger, which keeps them in the platform's table, and all
 * other requests to another, which keeps them in memory.
 */
public final class RoutingLedger implements RequestLedger {
  private final RequestLedger actions;
  private final RequestLedger nonActions;

  private RoutingLedger(RequestLedger actions, RequestLedger nonActions) {
    this.actions = requireNonNull(actions, "actions");
    this.nonActions = requireNonNull(nonActions, "nonActions");
  }

  /**
   * Combines two ledgers.
   *
   * @param actions ledger of requests whose effects must not occur twice
   * @param nonActions ledger of model requests and reads
   * @return ledger of all requests
   */
  public static RoutingLedger of(RequestLedger actions, RequestLedger nonActions) {
    return new RoutingLedger(actions, nonActions);
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
   * Queries both ledgers, since a lookup need not indicate whether the request was an action.
   *
   * @param request request with the key; its fingerprint and {@code action} are ignored
   * @return state of the key; {@link KeyState.Fresh} only if neither ledger has a claim of the key.
   *     Fails if one ledger fails and the other has no claim of the key
   */
  @Override
  public CompletableFuture<KeyState> lookup(KeyedRequest request) {
    CompletableFuture<KeyState> fromNonActions = nonActions.lookup(request);
    return actions
        .lookup(request)
        .handle(
            (state, failure) -> {
              boolean known = failure == null && !(state instanceof KeyState.Fresh);
              return known
                  ? CompletableFuture.completedFuture(state)
                  : fromNonActions.thenCompose(other -> nonActionState(other, failure));
            })
        .thenCompose(state -> state);
  }

  private static CompletableFuture<KeyState> nonActionState(
      KeyState state, Throwable actionFailure) {
    return state instanceof KeyState.Fresh && actionFailure != null
        ? CompletableFuture.failedFuture(actionFailure)
        : CompletableFuture.completedFuture(state);
  }

  private RequestLedger ledgerOf(KeyedRequest request) {
    return request.action() ? actions : nonActions;
  }
}
