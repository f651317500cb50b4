package org.snipewick.idempotency;

import java.util.concurrent.CompletableFuture;

/** Remembers which requests with a key may have been dispatched, over all instances. */
public interface RequestLedger {

  /**
   * Claims a key for dispatch. Only one call ever gets {@link KeyState.Fresh} for a key unless that
   * call is released as not run.
   *
   * @param request the call
   * @return what the call may do; fails with {@link
   *     org.snipewick.failure.FailureType#PLATFORM_UNAVAILABLE}, {@link
   *     org.snipewick.failure.FailureType#REGISTRAR_UNAVAILABLE} or {@link
   *     org.snipewick.failure.FailureType#KEY_REUSED}, and this call is then not to be dispatched;
   *     the failure's outcome speaks of all calls with the key
   */
  CompletableFuture<KeyState> claim(KeyedRequest request);

  /**
   * Gives a claim back: the call was not dispatched and will not be.
   *
   * @param request the call that was given {@link KeyState.Fresh}
   * @return completes when a repeat may run; a failure means that a repeat may be told unknown
   */
  CompletableFuture<Void> releaseNotRun(KeyedRequest request);

  /**
   * Keeps the answer of a call that ran.
   *
   * @param request the call that was given {@link KeyState.Fresh}
   * @param answer its complete answer
   * @return completes when kept; a failure means that a repeat may be told unknown
   */
  CompletableFuture<Void> complete(KeyedRequest request, StoredAnswer answer);

  /**
   * Notes that a dispatched call ended without a complete answer.
   *
   * @param request the call that was given {@link KeyState.Fresh}
   * @return completes when noted
   */
  CompletableFuture<Void> markUnknown(KeyedRequest request);

  /**
   * Asks what is known of a key, without claiming it.
   *
   * @param request the key; its fingerprint is ignored
   * @return state, {@link KeyState.Fresh} if nothing was or is being run; fails as {@link #claim}
   */
  CompletableFuture<KeyState> lookup(KeyedRequest request);
}
