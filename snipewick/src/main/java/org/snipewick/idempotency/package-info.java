/**
 * Idempotency keys: a request with a key is dispatched at most once over all instances, and a
 * duplicate request receives the stored answer or the known state of the first one.
 */
package org.snipewick.idempotency;
