package org.snipewick.idempotency;

import java.util.concurrent.CompletableFuture;

/** Records, across all instances, which requests with a key may have been dispatched. */
public interface RequestLedger {

  /**
   * Claims a key for dispatch. At most one request receives {@link KeyState.Fresh} for a key,
   * unless that request is released as not run.
   *
   * @param request the request
   * @return state of the key; this request may be dispatched only if the state is {@link
   *     KeyState.Fresh}. Fails with {@link org.snipewick.failure.FailureType#KEY_REUSED} and
   *     outcome not-run if the key was used for a different request. Fails with {@link
   *     org.snipewick.failure.FailureType#PLATFORM_UNAVAILABLE} or {@link
   *     org.snipewick.failure.FailureType#REGISTRAR_UNAVAILABLE} if the state cannot be determined;
   *     the outcome of such a failure is unknown, since an earlier request with the key may have
   *     been dispatched
   */
  CompletableFuture<KeyState> claim(KeyedRequest request);

  /**
   * Releases a claim whose request was not and will not be dispatched.
   *
   * @param request request whose claim returned {@link KeyState.Fresh}
   * @return future that completes when a duplicate request may run; after a failure a duplicate may
   *     receive {@link KeyState.Unknown}
   */
  CompletableFuture<Void> releaseNotRun(KeyedRequest request);

  /**
   * Stores the answer of a request that ran.
   *
   * @param request request whose claim returned {@link KeyState.Fresh}
   * @param answer its complete answer
   * @return future that completes when the answer is stored; after a failure a duplicate may
   *     receive {@link KeyState.Unknown}
   */
  CompletableFuture<Void> complete(KeyedRequest request, StoredAnswer answer);

  /**
   * Records that a dispatched request ended without a complete answer.
   *
   * @param request request whose claim returned {@link KeyState.Fresh}
   * @return future that completes when this is recorded
   */
  CompletableFuture<Void> markUnknown(KeyedRequest request);

  /**
   * Returns the state of a key without claiming it.
   *
   * @param request request with the key; its fingerprint is ignored
   * @return state of the key; {@link KeyState.Fresh} if no request with the key ran or is running.
   *     Fails with {@link org.snipewick.failure.FailureType#PLATFORM_UNAVAILABLE} or {@link
   *     org.snipewick.failure.FailureType#REGISTRAR_UNAVAILABLE} if the state cannot be determined
   */
  CompletableFuture<KeyState> lookup(KeyedRequest request);
}
