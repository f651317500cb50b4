/**
 * Client of the platform's store, which many instances share: it batches writes, coalesces reads,
 * limits rates, retries within a budget and fails fast while the store is unavailable. The calls
 * themselves are an interface that an adapter to the platform implements.
 */
package org.snipewick.store.access;
