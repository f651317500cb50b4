package org.snipewick.idempotency;

import java.util.concurrent.CompletableFuture;

/** Records, across all instances, which requests with a key may have been dispatched. */
public interface RequestLedger {

  /**
   * Claims a key for dispatch. At most one request receives {@link KeyState.Fresh} for a key,
   * unless that request is released as not run.
   *
   * @param request the request
   * @return state of the key; the request may be dispatched only if it is {@link KeyState.Fresh};
   *     fails with {@link org.snipewick.failure.FailureType#PLATFORM_UNAVAILABLE}, {@link
   *     org.snipewick.failure.FailureType#REGISTRAR_UNAVAILABLE} or {@link
   *     org.snipewick.failure.FailureType#KEY_REUSED}, and this request must then not be
   *     dispatched; the outcome in the failure refers to all requests with the key
   */
  CompletableFuture<KeyState> claim(KeyedRequest request);

  /**
   * Releases a claim whose request was not and will not be dispatched.
   *
   * @param request request whose claim returned {@link KeyState.Fresh}
   * @return completes when a duplicate request may run; after a failure a duplicate may receive
   *     {@link KeyState.Unknown}
   */
  CompletableFuture<Void> releaseNotRun(KeyedRequest request);

  /**
   * Stores the answer of a request that ran.
   *
   * @param request request whose claim returned {@link KeyState.Fresh}
   * @param answer its complete answer
   * @return completes when the answer is stored; after a failure a duplicate may receive {@link
   *     KeyState.Unknown}
   */
  CompletableFuture<Void> complete(KeyedRequest request, StoredAnswer answer);

  /**
   * Records that a dispatched request ended without a complete answer.
   *
   * @param request request whose claim returned {@link KeyState.Fresh}
   * @return completes when this is recorded
   */
  CompletableFuture<Void> markUnknown(KeyedRequest request);

  /**
   * Returns the state of a key without claiming it.
   *
   * @param request request with the key; its fingerprint is ignored
   * @return state, {@link KeyState.Fresh} if no request with the key ran or is running; fails as
   *     {@link #claim} does
   */
  CompletableFuture<KeyState> lookup(KeyedRequest request);
}
