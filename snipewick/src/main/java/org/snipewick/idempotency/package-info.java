/**
 * Idempotency keys: a request with a key is dispatched at most once across all instances, and a
 * duplicate request receives the stored answer of the first one, or its state if there is none.
 */
package org.snipewick.idempotency;
